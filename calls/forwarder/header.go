package forwarder

import (
	"net/http"
	"strconv"
	"strings"

	tiller "gitlab.com/sycamoretiller/sycamoretiller"
)

// Headers of calls. A backend server copies those that are part of the chain to the calls that it makes itself. The second group is
// used between nodes only.
const (
	// HeaderKey carries the idempotency key of a call that may run at most once.
	HeaderKey = "Idempotency-Key"
	// HeaderDeadline carries the time left in milliseconds; part of the chain.
	HeaderDeadline = "Tiller-Deadline-Ms"
	// HeaderRetriesLeft carries the number of retries left to the chain; part of the chain.
	HeaderRetriesLeft = "Tiller-Retries-Left"
	// HeaderCause carries the id of the outermost call; part of the chain.
	HeaderCause = "Tiller-Cause"
	// HeaderRetriesSpent carries the number of retries made so far; part of the answer.
	HeaderRetriesSpent = "Tiller-Retries-Spent"
	// HeaderHome names the data centre that new idempotency keys start with.
	HeaderHome = "Tiller-Home"
	// HeaderServerLimit carries the requests a second that a backend server accepts from all callers together, a decimal number; part of its
	// answers for as long as the limit holds.
	HeaderServerLimit = "Tiller-Server-Limit"
	// HeaderServerLeaving is "true" on the answers of a backend server that is leaving.
	HeaderServerLeaving = "Tiller-Server-Leaving"
	// HeaderVerdict states on every answer whether the request ran, may have run or did not run.
	HeaderVerdict = "Tiller-Verdict"
	// HeaderReason states why a request was refused.
	HeaderReason = "Tiller-Reason"
	// HeaderWorker names the worker that answered.
	HeaderWorker = "Tiller-Worker"
	// HeaderVersion names the configuration version that the call was routed with.
	HeaderVersion = "Tiller-Version"
	// HeaderReplayed marks a stored answer that is replayed to a duplicate of a keyed request.
	HeaderReplayed = "Tiller-Replayed"

	// HeaderAttempt carries the id of an attempt.
	HeaderAttempt = "Tiller-Attempt"
	// HeaderTo names the worker that an attempt is for.
	HeaderTo = "Tiller-To"
	// HeaderService names the service that an attempt is for.
	HeaderService = "Tiller-Service"
	// HeaderOrigin names the service of the worker on the outbound proxy's VM.
	HeaderOrigin = "Tiller-Origin"
	// HeaderPriority carries the priority of a call.
	HeaderPriority = "Tiller-Priority"
	// HeaderNoWait marks attempts that are refused if no slot is free.
	HeaderNoWait = "Tiller-No-Wait"
	// HeaderSoftDeadline carries the time left until the soft deadline in milliseconds; it may be negative.
	HeaderSoftDeadline = "Tiller-Aim-Ms"
	// HeaderRoute names the route of a call.
	HeaderRoute = "Tiller-Route"
	// HeaderStrikes carries the known strikes of a request, in both directions.
	HeaderStrikes = "Tiller-Strikes"
	// HeaderAtMostOnce marks calls that need a claim.
	HeaderAtMostOnce = "Tiller-At-Most-Once"
	// HeaderLoad carries the number of requests that run or wait at the worker; part of the answer.
	HeaderLoad = "Tiller-Load"
	// HeaderLimit carries the concurrency limit of the worker; part of the answer.
	HeaderLimit = "Tiller-Limit"
	// HeaderMeanLatency carries the mean latency of requests at the worker plus the wait for its VM's link, in milliseconds; part of the
	// answer.
	HeaderMeanLatency = "Tiller-Pace-Ms"
	// HeaderStart identifies the start of the backend server that HeaderRate and HeaderLeaving are about. All three are sent in both
	// directions, so that a node which restarts beside its server learns from the first attempt what the server has stated.
	HeaderStart = "Tiller-Start"
	// HeaderRate carries the requests a second that this start accepts, absent for no limit.
	HeaderRate = "Tiller-Rate"
	// HeaderLeaving marks a start that is leaving.
	HeaderLeaving = "Tiller-Leaving"
	// HeaderQueue carries the time that a request waited for a slot in milliseconds, absent for none; part of the answer.
	HeaderQueue = "Tiller-Queue-Ms"
	// HeaderRun carries the time that a request ran on the backend server in milliseconds, absent for none; part of the answer.
	HeaderRun = "Tiller-Run-Ms"
	// HeaderLength repeats the length of a buffered answer in bytes, to detect truncation; part of the answer.
	HeaderLength = "Tiller-Length"
)

// connectionHeaders are those that apply to one connection only.
var connectionHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Expect",
}

const headerPrefix = "Tiller-"

// endToEnd returns the headers that pass between caller and backend server, without those of the connection and those with headerPrefix.
func endToEnd(h http.Header) http.Header {
	out := make(http.Header, len(h))

	for name, values := range h {
		if !strings.HasPrefix(name, headerPrefix) {
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
