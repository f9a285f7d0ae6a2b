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

// Answer is the answer to a request: whole, or its beginning with a rest that is passed on as it comes.
type Answer struct {
	status int
	header http.Header
	// body is the whole body, or its beginning where rest is set.
	body []byte
	// rest is what is still to be read of a body that is too large to keep.
	rest io.ReadCloser
	// length is the length of the whole body in bytes, negative if unknown.
	length int64
	// worker tells who answered, empty if it is the kept answer of an earlier send.
	worker   tiller.Worker
	replayed bool
	// queued and ran are how long the request waited at the gate and ran on the backend server, zero if the gate does not tell.
	queued  tiller.Millis
	ran     tiller.Millis
	onClose []func()
}

func wholeAnswer(status int, header http.Header, body []byte) *Answer {
	return &Answer{status: status, header: header, body: body, length: int64(len(body))}
}

// refusalAnswer formats a refusal for other nodes.
func refusalAnswer(err *tiller.CallError) *Answer {
	r := Dialect{}.Refuse(err, "")

	return wholeAnswer(r.Status(), r.Header(), r.Body())
}

// refusalOf reads a refusal that another node sent.
func refusalOf(a *Answer) *tiller.CallError {
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

// release runs when the answer has been passed on.
func (a *Answer) release(f func()) { a.onClose = append(a.onClose, f) }

// close ends the reading of the answer.
func (a *Answer) close() {
	if a.rest != nil {
		// What was not passed on is of no use any more.
		_ = a.rest.Close()
	}

	for _, f := range a.onClose {
		f()
	}
}

// write passes the answer on. One that breaks off ends the connection, so that it cannot be taken for whole.
func (a *Answer) write(w http.ResponseWriter) {
	for name, values := range a.header {
		w.Header()[name] = values
	}

	if a.length >= 0 {
		w.Header().Set("Content-Length", strconv.FormatInt(a.length, 10))
	}

	w.WriteHeader(a.status)

	// A caller that hung up has no use for the rest.
	if _, err := w.Write(a.body); err != nil || a.rest == nil {
		return
	}

	if _, err := io.Copy(w, a.rest); err != nil {
		panic(http.ErrAbortHandler)
	}
}

// maxKept is how much of a body is kept, so that a request can be sent again and a broken answer is noticed before it is
// passed on.
const maxKept = 256 << 10

// readAnswer keeps an answer up to a bound. A truncated answer, or one above the limit in bytes, is an error.
func readAnswer(x *exchanger.Answer, limit int64) (*Answer, *tiller.CallError) {
	a := &Answer{status: x.Status, header: x.Header, length: x.Length, rest: x.Body}
	if x.Length > limit {
		a.close()

		return nil, answerTooLarge()
	}

	kept, err := io.ReadAll(io.LimitReader(x.Body, min(limit, maxKept)+1))
	if err != nil {
		a.close()

		return nil, tiller.NewCallError(tiller.VerdictMayHaveRun, tiller.ReasonAnswerTruncated, "the answer broke off: "+err.Error())
	}

	a.body = kept

	switch n := int64(len(kept)); {
	case n > limit:
		a.close()

		return nil, answerTooLarge()
	case n <= maxKept:
		a.close()
		a.rest = nil

		if a.length < 0 {
			a.length = n
		}
	default:
		a.rest = &boundedReader{ReadCloser: x.Body, left: limit - n}
	}

	return a, nil
}

func answerTooLarge() *tiller.CallError {
	return tiller.NewCallError(tiller.VerdictRan, tiller.ReasonAnswerTooLarge, "the answer exceeds max_answer_bytes")
}

// boundedReader fails beyond a number of bytes.
type boundedReader struct {
	io.ReadCloser
	left int64
}

var errBound = errors.New("the body exceeds its limit")

// Read reads a part of the body.
func (r *boundedReader) Read(p []byte) (int, error) {
	n, err := r.ReadCloser.Read(p)
	r.left -= int64(n)

	if r.left < 0 {
		return 0, errBound
	}

	return n, err
}
