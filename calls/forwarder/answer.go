package forwarder

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"

	tiller "gitlab.com/sycamoretiller/sycamoretiller"
	"gitlab.com/sycamoretiller/sycamoretiller/calls/exchanger"
)

// Answer is the answer to a request: buffered completely, or its first part with a rest that is streamed.
type Answer struct {
	status int
	header http.Header
	// body is the complete body, or its first part if rest is set.
	body []byte
	// rest is the unread part of a body that is too large to buffer.
	rest io.ReadCloser
	// length is the length of the complete body in bytes, negative if unknown.
	length int64
	// worker is the worker that answered, empty if the stored answer of an earlier attempt is replayed.
	worker   tiller.Worker
	replayed bool
	// queued and ran are the times that the request waited for a slot and ran on the backend server, zero if not reported.
	queued  tiller.Millis
	ran     tiller.Millis
	closers []func()
}

func completeAnswer(status int, header http.Header, body []byte) *Answer {
	return &Answer{status: status, header: header, body: body, length: int64(len(body))}
}

// refusalAnswer returns a refusal as an answer to another node.
func refusalAnswer(err *tiller.CallError) *Answer {
	r := Dialect{}.FormatRefusal(err, "")

	return completeAnswer(r.Status(), r.Header(), r.Body())
}

// parseRefusal returns the refusal that another node sent.
func parseRefusal(a *Answer) *tiller.CallError {
	var body refusalBody

	reason, err := tiller.ReasonString(a.header.Get(HeaderReason))
	if errors.Join(err, json.Unmarshal(a.body, &body)) != nil {
		return tiller.NewCallError(tiller.VerdictMayHaveRun, tiller.ReasonBackendFailed, "another node sent a refusal that cannot be read")
	}

	refusal := tiller.NewCallError(parseVerdict(a.header.Get(HeaderVerdict)), reason, body.Detail).
		WithRetryAfter(tiller.Millis(body.RetryAfterMs)).WithRetries(retriesSpent(a.header)).
		WithStrikes(int(headerInt(a.header, HeaderStrikes, 0)))
	if body.Untried {
		refusal = refusal.WithUntried()
	}

	return refusal
}

// onClose registers a function that runs when the answer is closed.
func (a *Answer) onClose(f func()) { a.closers = append(a.closers, f) }

// close discards the unread rest and runs the registered functions.
func (a *Answer) close() {
	if a.rest != nil {
		// The rest is discarded, so an error does not matter.
		_ = a.rest.Close()
	}

	for _, f := range a.closers {
		f()
	}
}

// write passes the answer on. If it breaks off, write aborts the connection, so that the answer cannot be mistaken for a complete one.
func (a *Answer) write(w http.ResponseWriter) {
	for name, values := range a.header {
		w.Header()[name] = values
	}

	if a.length >= 0 {
		w.Header().Set("Content-Length", strconv.FormatInt(a.length, 10))
	}

	w.WriteHeader(a.status)

	// A caller that has disconnected does not need the rest.
	if _, err := w.Write(a.body); err != nil || a.rest == nil {
		return
	}

	if _, err := io.Copy(w, a.rest); err != nil {
		panic(http.ErrAbortHandler)
	}
}

// maxBufferedBytes is how much of a body is buffered, so that a request can be resent and a truncated answer is detected before any of
// it is passed on.
const maxBufferedBytes = 256 << 10

// readAnswer buffers an answer up to maxBufferedBytes. A truncated answer, or one above the limit in bytes, is an error.
func readAnswer(response *exchanger.Response, limit int64) (*Answer, *tiller.CallError) {
	a := &Answer{status: response.Status, header: response.Header, length: response.Length, rest: response.Body}
	if response.Length > limit {
		a.close()

		return nil, answerTooLarge()
	}

	buffered, err := io.ReadAll(io.LimitReader(response.Body, min(limit, maxBufferedBytes)+1))
	if err != nil {
		a.close()

		return nil, tiller.NewCallError(tiller.VerdictMayHaveRun, tiller.ReasonAnswerTruncated, "the answer broke off: "+err.Error())
	}

	a.body = buffered

	switch n := int64(len(buffered)); {
	case n > limit:
		a.close()

		return nil, answerTooLarge()
	case n <= maxBufferedBytes:
		a.close()
		a.rest = nil

		if a.length < 0 {
			a.length = n
		}
	default:
		a.rest = &boundedReader{ReadCloser: response.Body, left: limit - n}
	}

	return a, nil
}

func answerTooLarge() *tiller.CallError {
	return tiller.NewCallError(tiller.VerdictRan, tiller.ReasonAnswerTooLarge, "the answer exceeds max_answer_bytes")
}

// boundedReader returns errBodyTooLarge once more than left bytes have been read.
type boundedReader struct {
	io.ReadCloser
	left int64
}

var errBodyTooLarge = errors.New("the body exceeds its limit")

// Read implements io.Reader.
func (r *boundedReader) Read(p []byte) (int, error) {
	n, err := r.ReadCloser.Read(p)
	r.left -= int64(n)

	if r.left < 0 {
		return 0, errBodyTooLarge
	}

	return n, err
}
