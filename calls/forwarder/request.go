package forwarder

import (
	"io"
	"net/http"
	"time"

	tiller "gitlab.com/sycamoretiller/sycamoretiller"
	"gitlab.com/sycamoretiller/sycamoretiller/calls/quarantiner"
)

// payload is a request's body: whole, or its beginning with a rest that can be sent only once.
type payload struct {
	kept   []byte
	rest   io.Reader
	length int64
	// spent is set when the rest has been given to a connection.
	spent bool
}

// resendable reports whether the body can be sent (again).
func (p *payload) resendable() bool { return p.rest == nil || !p.spent }

// request is what travels to a gate.
type request struct {
	method   string
	target   string
	host     string
	header   http.Header
	body     *payload
	route    string
	service  tiller.Service
	origin   tiller.Service
	priority int
	// aim is when an answer loses a part of its worth, zero if unknown.
	aim        tiller.Millis
	atMostOnce bool
	deadline   tiller.Millis
	// began is when the call arrived at this node.
	began     tiller.Millis
	id        string
	key       string
	attempt   string
	cause     string
	chainLeft int
	strikes   int
	// noWait makes the gate refuse the request where no slot is free.
	noWait bool
	// digest identifies the request across resends.
	digest quarantiner.Digest
}

// rawTarget returns the path and query as the caller sent them.
func rawTarget(r *http.Request) string {
	if len(r.RequestURI) > 0 && r.RequestURI[0] == '/' {
		return r.RequestURI
	}

	return r.URL.RequestURI()
}

// rawPath returns the path as the caller sent it, without decoding.
func rawPath(target string) string {
	for i := range len(target) {
		if target[i] == '?' || target[i] == '#' {
			return target[:i]
		}
	}

	return target
}

// bodyGrace is how long after the caller's deadline its body may still arrive, so that the refusal reaches it.
const bodyGrace = 100 * time.Millisecond

// readPayload keeps a body up to a bound. The rest of a larger one is read while it is passed on, bounded by the limit in bytes.
func readPayload(w http.ResponseWriter, r *http.Request, left tiller.Millis, limit int64) (*payload, *tiller.CallError) {
	if r.ContentLength > limit {
		return nil, requestTooLarge()
	}

	if r.ContentLength != 0 {
		// Where the server cannot bound the reading, the end of the call's context does.
		_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(left.Duration() + bodyGrace))
	}

	kept, err := io.ReadAll(io.LimitReader(r.Body, min(limit, maxKept)+1))
	if err != nil {
		return nil, notRun(tiller.ReasonRequestMalformed, "the request's body broke off: "+err.Error())
	}

	n := int64(len(kept))
	if n > limit {
		return nil, requestTooLarge()
	}

	p := &payload{kept: kept, length: n}
	if n > maxKept {
		p.length = r.ContentLength
		p.rest = &boundedReader{ReadCloser: r.Body, left: limit - n}
	}

	return p, nil
}

func requestTooLarge() *tiller.CallError {
	return notRun(tiller.ReasonRequestTooLarge, "the request exceeds max_request_bytes")
}

// answerTo passes an answer on and ends it.
func answerTo(w http.ResponseWriter, a *Answer) {
	defer a.close()

	a.write(w)
}
