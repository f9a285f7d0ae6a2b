package forwarder

import (
	tiller "gitlab.com/sycamoretiller/sycamoretiller"
)

// maxLinkWaitShare is the share of the time left that an answer may wait for the VM's link; the rest is for running the request.
const maxLinkWaitShare = 0.5

// linkWait returns how long an answer would currently wait for the VM's link, zero if unknown.
func (f *Forwarder) linkWait() tiller.Millis {
	if f.LinkWait == nil {
		return 0
	}

	return f.LinkWait()
}

// checkLink refuses a request whose answer would wait too long for the VM's link.
func (f *Forwarder) checkLink(q *request) *tiller.CallError {
	wait := f.linkWait()
	if wait <= 0 || float64(wait) <= maxLinkWaitShare*float64(q.deadline-f.Clock.Now()) {
		return nil
	}

	return notRun(tiller.ReasonOverload, "the VM's link is full").WithUntried().WithRetryAfter(wait)
}
