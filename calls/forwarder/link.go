package forwarder

import (
	tiller "gitlab.com/sycamoretiller/sycamoretiller"
)

// linkShare is the part of the time left that an answer may wait for the VM's link; the rest is for running the request.
const linkShare = 0.5

// linkWait returns how long an answer would wait for the VM's link now.
func (f *Forwarder) linkWait() tiller.Millis {
	if f.LinkWait == nil {
		return 0
	}

	return f.LinkWait()
}

// linkFull refuses a request whose answer would wait too long for the VM's link.
func (f *Forwarder) linkFull(q *request) *tiller.CallError {
	wait := f.linkWait()
	if wait <= 0 || float64(wait) <= linkShare*float64(q.deadline-f.Clock.Now()) {
		return nil
	}

	return notRun(tiller.ReasonOverload, "the VM's link is full").WithUntried().WithRetryAfter(wait)
}
