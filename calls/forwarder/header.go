package forwarder

import (
	"net/http"
	"strconv"
	"strings"

	tiller "gitlab.com/sycamoretiller/sycamoretiller"
)

// Headers of calls. A backend server passes those of the chain on to the calls that it makes itself.
const (
	// HeaderKey carries the idempotency key of a call that may run at most once.
	HeaderKey = "Idempotency-Key"
	// HeaderDeadline carries the milliseconds left; part of the chain.
	HeaderDeadline = "Tiller-Deadline-Ms"
	// HeaderRetriesLeft carries the retries that the chain still allows; part of the chain.
	HeaderRetriesLeft = "Tiller-Retries-Left"
	// HeaderCause carries the id of the outermost call; part of the chain.
	HeaderCause = "Tiller-Cause"
	// HeaderRetriesSpent carries the retries made so far on the way back.
	HeaderRetriesSpent = "Tiller-Retries-Spent"
	// HeaderHome names the data centre to put in front of new idempotency keys.
	HeaderHome = "Tiller-Home"
	// HeaderVerdict says on every answer whether the request may have run.
	HeaderVerdict = "Tiller-Verdict"
	// HeaderReason says why a request was refused.
	HeaderReason = "Tiller-Reason"
	// HeaderWorker names the worker that answered.
	HeaderWorker = "Tiller-Worker"
	// HeaderVersion names the configuration version by which the call was routed.
	HeaderVersion = "Tiller-Version"
	// HeaderReplayed marks the first result of a keyed request that was sent again.
	HeaderReplayed = "Tiller-Replayed"

	// HeaderAttempt names an attempt between nodes.
	HeaderAttempt = "Tiller-Attempt"
	// HeaderTo names the worker that an attempt is for between nodes.
	HeaderTo = "Tiller-To"
	// HeaderService names the service that an attempt is for between nodes.
	HeaderService = "Tiller-Service"
	// HeaderOrigin names the service on the VM where the call began between nodes.
	HeaderOrigin = "Tiller-Origin"
	// HeaderPriority carries the rank of a call between nodes.
	HeaderPriority = "Tiller-Priority"
	// HeaderNoWait marks attempts between nodes that only want a slot that is free.
	HeaderNoWait = "Tiller-No-Wait"
	// HeaderAim carries the milliseconds in which an answer has its full worth between nodes; it may be negative.
	HeaderAim = "Tiller-Aim-Ms"
	// HeaderRoute names the route between nodes.
	HeaderRoute = "Tiller-Route"
	// HeaderStrikes carries the known crashes of a request between nodes, both ways.
	HeaderStrikes = "Tiller-Strikes"
	// HeaderAtMostOnce marks calls that need a claim between nodes.
	HeaderAtMostOnce = "Tiller-At-Most-Once"
	// HeaderLoad carries the load of the worker on the way back between nodes.
	HeaderLoad = "Tiller-Load"
	// HeaderLimit carries the limit of the worker on the way back between nodes.
	HeaderLimit = "Tiller-Limit"
	// HeaderPace carries the milliseconds that a request takes at the worker on the way back between nodes.
	HeaderPace = "Tiller-Pace-Ms"
	// HeaderQueue carries the milliseconds that a request waited at the gate on the way back between nodes, absent for none.
	HeaderQueue = "Tiller-Queue-Ms"
	// HeaderRun carries the milliseconds that a request ran on the backend server on the way back between nodes.
	HeaderRun = "Tiller-Run-Ms"
	// HeaderLength repeats the length of the whole answer between nodes.
	HeaderLength = "Tiller-Length"
)

// connectionHeaders concern one connection only.
var connectionHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Expect",
}

const ownPrefix = "Tiller-"

// endToEnd returns the headers that travel from caller to backend server or back: neither those of one connection nor those
// that nodes use among themselves.
func endToEnd(h http.Header) http.Header {
	out := make(http.Header, len(h))

	for name, values := range h {
		if !strings.HasPrefix(name, ownPrefix) {
			out[name] = values
		}
	}

	for _, listed := range h["Connection"] {
		for name := range strings.SplitSeq(listed, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}

	for _, name := range connectionHeaders {
		out.Del(name)
	}

	return out
}

func headerInt(h http.Header, name string, fallback int64) int64 {
	v, err := strconv.ParseInt(h.Get(name), 10, 64)
	if err != nil {
		return fallback
	}

	return v
}

func setInt(h http.Header, name string, v int64) { h.Set(name, strconv.FormatInt(v, 10)) }

func retriesSpent(h http.Header) int {
	return int(max(0, headerInt(h, HeaderRetriesSpent, 0)))
}

func parseVerdict(s string) tiller.Verdict {
	v, err := tiller.VerdictString(s)
	if err != nil {
		return tiller.VerdictMayHaveRun
	}

	return v
}
