package sycamoretiller

// Address is the IP address and port of a process.
type Address string

// DataCentre names a data centre.
type DataCentre string

// Service names a service.
type Service string

// Worker names a worker and the node on its VM.
type Worker string

// Place is where a node runs and which service its worker offers.
type Place struct {
	dataCentre DataCentre
	service    Service
	worker     Worker
}

// NewPlace returns a place; an empty part matches nothing narrower.
func NewPlace(dc DataCentre, service Service, worker Worker) Place {
	return Place{dataCentre: dc, service: service, worker: worker}
}

// DataCentre returns the data centre.
func (p Place) DataCentre() DataCentre { return p.dataCentre }

// Service returns the service.
func (p Place) Service() Service { return p.service }

// Worker returns the worker.
func (p Place) Worker() Worker { return p.worker }
