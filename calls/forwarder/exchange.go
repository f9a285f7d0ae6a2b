package forwarder

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	tiller "gitlab.com/sycamoretiller/sycamoretiller"
)

const (
	dialTimeout     = 2 * time.Second
	idleTimeout     = 30 * time.Second
	maxIdlePerHost  = 64
	maxHeaderBytes  = 64 << 10
	keepAlivePeriod = 15 * time.Second
)

// Dialer does HTTP exchanges on pooled connections.
type Dialer struct {
	client *http.Client
	filter func(to tiller.Address) bool
}

// NewDialer returns a dialer; at most the given number of connections is open to one server, zero for no bound. The
// filter may be nil.
func NewDialer(connections int, filter func(to tiller.Address) bool) Dialer {
	d := net.Dialer{Timeout: dialTimeout, KeepAlive: keepAlivePeriod}

	return Dialer{filter: filter, client: &http.Client{
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		Transport: &http.Transport{
			DialContext: d.DialContext, MaxConnsPerHost: connections, MaxIdleConnsPerHost: maxIdlePerHost,
			IdleConnTimeout: idleTimeout, MaxResponseHeaderBytes: maxHeaderBytes, DisableCompression: true,
		},
	}}
}

// Close drops idle connections.
func (d Dialer) Close() { d.client.CloseIdleConnections() }

// exchange is one request and its whole answer.
type exchange struct {
	method string
	url    string
	to     tiller.Address
	header http.Header
	body   []byte
	limit  int64
}

// failure says how an exchange failed.
type failure struct {
	err *tiller.CallError
	// refused is set when the port refused the connection.
	refused bool
	// broken is set when the connection broke after the request was written.
	broken bool
}

// do sends the request once. The standard client repeats some requests by itself; a body without a way to read it
// again prevents that.
func (d Dialer) do(ctx context.Context, x exchange) (*Answer, *failure) {
	if d.filter != nil && !d.filter(x.to) {
		return nil, &failure{err: tiller.NewCallError(tiller.VerdictNotRun, tiller.ReasonUnreachable, "no connection to "+string(x.to))}
	}

	var written atomic.Bool

	trace := &httptrace.ClientTrace{WroteHeaders: func() { written.Store(true) }}

	r, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), x.method, x.url, nil)
	if err != nil {
		return nil, &failure{err: tiller.NewCallError(tiller.VerdictNotRun, tiller.ReasonNoRoute, err.Error())}
	}

	r.Header = x.header
	r.Body = io.NopCloser(bytes.NewReader(x.body))
	r.ContentLength = int64(len(x.body))

	resp, err := d.client.Do(r)
	if err != nil {
		return nil, classify(ctx, err, written.Load())
	}

	defer func() { _ = resp.Body.Close() }()

	a, callErr := readAnswer(resp, x.limit)
	if callErr != nil {
		return nil, &failure{err: callErr}
	}

	return a, nil
}

func classify(ctx context.Context, err error, written bool) *failure {
	verdict := tiller.VerdictMayHaveRun
	if !written {
		verdict = tiller.VerdictNotRun
	}

	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return &failure{err: tiller.NewCallError(verdict, tiller.ReasonDeadline, "no answer before the deadline")}
	case ctx.Err() != nil:
		return &failure{err: tiller.NewCallError(verdict, tiller.ReasonCancelled, "the caller gave up")}
	case !written:
		return &failure{
			err:     tiller.NewCallError(verdict, tiller.ReasonUnreachable, eris.Cause(err).Error()),
			refused: errors.Is(err, syscall.ECONNREFUSED),
		}
	default:
		return &failure{err: tiller.NewCallError(verdict, tiller.ReasonBackendFailed, "the connection broke before the answer"), broken: true}
	}
}

// readAnswer reads the body to its end; a truncated or oversized one is an error.
func readAnswer(resp *http.Response, limit int64) (*Answer, *tiller.CallError) {
	body, err := io.ReadAll(io.LimitReader(resp.Body, limit+1))
	if err != nil {
		return nil, tiller.NewCallError(tiller.VerdictMayHaveRun, tiller.ReasonAnswerTruncated, "the answer broke off: "+err.Error())
	}

	if int64(len(body)) > limit {
		return nil, tiller.NewCallError(tiller.VerdictRan, tiller.ReasonAnswerTooLarge, "the answer exceeds max_answer_bytes")
	}

	return &Answer{status: resp.StatusCode, header: resp.Header, body: body}, nil
}
