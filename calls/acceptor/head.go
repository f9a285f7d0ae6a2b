package acceptor

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net/http"
	"net/textproto"
	"net/url"
	"strconv"
	"strings"

	"github.com/rotisserie/eris"
	"golang.org/x/net/http/httpguts"
)

// Errors of readHead and next.
var (
	errHeadTooLarge = eris.New("request headers exceed the size limit")
	errMalformed    = eris.New("malformed request")
	errHeadTimeout  = eris.New("request headers did not arrive within the header timeout")
)

// head is a parsed request line with the headers.
type head struct {
	method  string
	target  string
	url     *url.URL
	minor   int // minor version of HTTP/1.x
	header  http.Header
	host    string
	length  int64 // of the body in bytes, or chunkedLength
	chunked bool
}

// chunkedLength is the length of a chunked body, which is unknown.
const chunkedLength = -1

// readHead reads the request line and the headers, of at most limit bytes in total.
func readHead(r *bufio.Reader, limit int) (*head, error) {
	line, remaining, err := readLine(r, limit)
	if err != nil {
		return nil, err
	}

	h := &head{header: http.Header{}}
	if err := h.parseRequestLine(line); err != nil {
		return nil, err
	}

	for {
		line, remaining, err = readLine(r, remaining)
		if err != nil {
			return nil, err
		}

		if len(line) == 0 {
			break
		}

		if err := h.parseField(line); err != nil {
			return nil, err
		}
	}

	return h, h.parseFraming()
}

// readLine returns a line without its line ending, and the bytes that remain of limit. The caller skips empty lines before a request line.
func readLine(r *bufio.Reader, limit int) (string, int, error) {
	var line []byte

	for {
		part, err := r.ReadSlice('\n')
		line = append(line, part...)

		if len(line) > limit {
			return "", 0, errHeadTooLarge
		}

		if err == nil {
			break
		}

		if !errors.Is(err, bufio.ErrBufferFull) {
			if errors.Is(err, io.EOF) && len(line) > 0 {
				err = io.ErrUnexpectedEOF
			}

			return "", 0, err
		}
	}

	limit -= len(line)
	line = bytes.TrimSuffix(line[:len(line)-1], []byte("\r"))

	if bytes.ContainsAny(line, "\r\x00") {
		return "", 0, eris.Wrap(errMalformed, "control character in a line")
	}

	return string(line), limit, nil
}

func (h *head) parseRequestLine(line string) error {
	method, rest, ok := strings.Cut(line, " ")
	target, protocol, ok2 := strings.Cut(rest, " ")

	if !ok || !ok2 || !httpguts.ValidHeaderFieldName(method) {
		return eris.Wrap(errMalformed, "request line")
	}

	switch protocol {
	case "HTTP/1.1":
		h.minor = 1
	case "HTTP/1.0":
		h.minor = 0
	default:
		return eris.Wrap(errMalformed, "protocol version")
	}

	u, err := url.ParseRequestURI(target)
	if err != nil {
		return eris.Wrap(errMalformed, "request target")
	}

	h.method, h.target, h.url = method, target, u

	return nil
}

func (h *head) parseField(line string) error {
	name, value, ok := strings.Cut(line, ":")
	value = strings.Trim(value, " \t")

	if !ok || !httpguts.ValidHeaderFieldName(name) || !httpguts.ValidHeaderFieldValue(value) {
		return eris.Wrap(errMalformed, "header field")
	}

	key := textproto.CanonicalMIMEHeaderKey(name)
	h.header[key] = append(h.header[key], value)

	return nil
}

// parseFraming determines the host and the length of the body. A request with ambiguous framing is malformed, since another proxy or
// server may frame it differently (request smuggling).
func (h *head) parseFraming() error {
	hosts := h.header["Host"]
	delete(h.header, "Host")

	if len(hosts) > 1 || (len(hosts) == 0 && h.minor == 1) {
		return eris.Wrap(errMalformed, "a request needs one host header")
	}

	if len(hosts) == 1 {
		h.host = hosts[0]
	}

	if h.url.Host != "" {
		h.host = h.url.Host
	}

	codings, lengths := h.header["Transfer-Encoding"], h.header["Content-Length"]
	if len(codings) > 0 {
		if len(lengths) > 0 || len(codings) > 1 || !strings.EqualFold(codings[0], "chunked") || h.minor == 0 {
			return eris.Wrap(errMalformed, "transfer encoding")
		}

		delete(h.header, "Transfer-Encoding")

		h.chunked = true
		h.length = chunkedLength

		return nil
	}

	return h.parseLength(lengths)
}

func (h *head) parseLength(lengths []string) error {
	if len(lengths) == 0 {
		return nil
	}

	n, err := strconv.ParseUint(lengths[0], 10, 62)
	if err != nil || len(lengths) > 1 || lengths[0][0] == '+' {
		return eris.Wrap(errMalformed, "content length")
	}

	h.length = int64(n)

	return nil
}

// wantsClose reports whether the caller asked to close the connection after the response.
func (h *head) wantsClose() bool {
	tokens := h.header["Connection"]
	if h.minor == 0 {
		return !httpguts.HeaderValuesContainsToken(tokens, "keep-alive")
	}

	return httpguts.HeaderValuesContainsToken(tokens, "close")
}

func (h *head) expectsContinue() bool {
	return h.minor == 1 && httpguts.HeaderValuesContainsToken(h.header["Expect"], "100-continue")
}

// request converts the head to an http.Request with the given body.
func (h *head) request(body io.ReadCloser) *http.Request {
	return &http.Request{
		Method: h.method, URL: h.url, RequestURI: h.target, Host: h.host, Header: h.header, Body: body, ContentLength: h.length,
		Proto: "HTTP/1." + strconv.Itoa(h.minor), ProtoMajor: 1, ProtoMinor: h.minor,
	}
}
