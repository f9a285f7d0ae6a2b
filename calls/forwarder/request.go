package forwarder

import (
	"context"
	"errors"
	"io"
	"net/http"
	"os"
	"time"

	tiller "gitlab.com/sycamoretiller/sycamoretiller"
	"gitlab.com/sycamoretiller/sycamoretiller/calls/quarantiner"
)

// payload is the body of a request: buffered completely, or its first part with a rest that can be sent only once.
type payload struct {
	buffered []byte
	rest     io.Reader
	length   int64
	// consumed is set when the rest has been passed to a connection.
	consumed bool
}

// resendable reports whether the body can be sent, for the first time or again.
func (p *payload) resendable() bool { return p.rest == nil || !p.consumed }

// request is the request of a call with the fields that an attempt carries to the inbound proxy.
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
	// softDeadline is the time until which an answer has its full value, zero if unknown.
	softDeadline tiller.Millis
	idempotent   bool
	atMostOnce   bool
	deadline     tiller.Millis
	// arrivedAt is when the call arrived at this node.
	arrivedAt   tiller.Millis
	id          string
	key         string
	attempt     string
	cause       string
	retriesLeft int
	strikes     int
	// noWait makes the inbound proxy refuse the request if no slot is free.
	noWait bool
	// digest identifies the request and its duplicates.
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

// bodyGrace is how long after the caller's deadline its body is still read, so that the refusal reaches the caller.
const bodyGrace = 100 * time.Millisecond

// readPayload buffers a body up to maxBufferedBytes. The rest of a larger one is streamed, up to the limit in bytes.
func readPayload(w http.ResponseWriter, r *http.Request, left tiller.Millis, limit int64) (*payload, *tiller.CallError) {
	if r.ContentLength > limit {
		return nil, requestTooLarge()
	}

	if r.ContentLength != 0 {
		// If the server does not support read deadlines, the call's context ends the read.
		_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(left.Duration() + bodyGrace))
	}

	buffered, err := io.ReadAll(io.LimitReader(r.Body, min(limit, maxBufferedBytes)+1))
	if err != nil {
		return nil, bodyError(r.Context(), err)
	}

	n := int64(len(buffered))
	if n > limit {
		return nil, requestTooLarge()
	}

	p := &payload{buffered: buffered, length: n}
	if n > maxBufferedBytes {
		p.length = r.ContentLength
		p.rest = &boundedReader{ReadCloser: r.Body, left: limit - n}
	}

	return p, nil
}

// bodyError returns why a body could not be read. A caller that is too slow or has left has sent nothing malformed, and may send it again.
func bodyError(ctx context.Context, err error) *tiller.CallError {
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(ctx.Err(), context.DeadlineExceeded):
		return notRun(tiller.ReasonDeadline, "the request's body did not arrive in the time of the call")
	case ctx.Err() != nil:
		return notRun(tiller.ReasonCancelled, "the caller left before its body had arrived")
	default:
		return notRun(tiller.ReasonRequestMalformed, "the request's body broke off: "+err.Error())
	}
}

func requestTooLarge() *tiller.CallError {
	return notRun(tiller.ReasonRequestTooLarge, "the request exceeds max_request_bytes")
}

// writeAndClose passes an answer on and closes it.
func writeAndClose(w http.ResponseWriter, a *Answer) {
	defer a.close()

	a.write(w)
}
