package sycamoretiller

// Address is the IP address and port of a process.
type Address string

// DataCentre names a data centre.
type DataCentre string

// Service names a service.
type Service string

// Worker names a worker and the node on its VM.
type Worker string

// Location is the data centre and the worker of a node and the service that the worker provides.
type Location struct {
	dataCentre DataCentre
	service    Service
	worker     Worker
}

// NewLocation returns a location. Exceptions for a data centre, service or worker do not cover a location that leaves this part empty.
func NewLocation(dc DataCentre, service Service, worker Worker) Location {
	return Location{dataCentre: dc, service: service, worker: worker}
}

// DataCentre returns the data centre.
func (l Location) DataCentre() DataCentre { return l.dataCentre }

// Service returns the service.
func (l Location) Service() Service { return l.service }

// Worker returns the worker.
func (l Location) Worker() Worker { return l.worker }
