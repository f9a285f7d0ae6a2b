package main

import (
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/go-resty/resty/v2"

	"gitlab.com/sycamoretiller/sycamoretiller/calls/forwarder"
	"gitlab.com/sycamoretiller/sycamoretiller/fleet/standin"
)

const crashTimeout = 5 * time.Second

// sendCrash sends the crashing request to a random node of the first data centre. It returns "served", the reason of the refusal or the
// transport error.
func (s *scenario) sendCrash() string {
	first := s.fleet.Plan().DataCentres[0]

	var targets []standin.Target

	for _, target := range s.fleet.Targets() {
		if string(target.DataCentre) == first {
			targets = append(targets, target)
		}
	}

	target := targets[rand.IntN(len(targets))]

	resp, err := resty.New().SetTimeout(crashTimeout).R().SetHeader(standin.HeaderCrash, "yes").
		Get("http://" + string(target.Address) + s.fleet.Plan().CrashPath)
	if err != nil {
		return err.Error()
	}

	if resp.StatusCode() == http.StatusOK {
		return "served"
	}

	return resp.Header().Get(forwarder.HeaderReason)
}
