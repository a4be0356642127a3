package attempt

import (
	"bufio"
	"context"
	"errors"
	"io"
	"strings"
	"testing"

	"github.com/valyala/fasthttp"
)

// TestInvalidStatus guards against a response whose status is no status of HTTP and that is taken for one: 000 came
// out as 200, and 101 and 001 as informational. The request may have run, and the connection is closed.
func TestInvalidStatus(t *testing.T) {
	for _, line := range []string{"HTTP/1.1 000 Oops", "HTTP/1.1 00 Oops", "HTTP/1.1 0 Oops", "HTTP/1.1 0200 OK", "HTTP/1.1 2000 OK",
		"HTTP/1.1 20 OK", "HTTP/1.1 001 OK", "HTTP/1.1 099 OK", "HTTP/1.1 600 OK", "HTTP/1.1 999 OK", "HTTP/1.1 -20 OK", "HTTP/1.1 +20 OK",
		"HTTP/1.1 +200 OK", "HTTP/1.1 2OO OK", "HTTP/1.1  OK", "HTTP/1.1 ", "HTTP/1.1", "HTTP/1.1 18446744073709551816 OK",
		"HTTP/1.1 101 Switching Protocols", "000", "\r\nHTTP/1.1 000 Oops", "HTTP/1.1 000", "HTTP/1.1 \t200 OK"} {
		for _, early := range []string{"", "HTTP/1.1 103 Early Hints\r\n\r\n"} {
			for _, stream := range []bool{false, true} {
				text := early + line + "\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
				checkRejected(t, line, text, stream)
			}
		}
	}
	for _, text := range []string{"the bytes of a file", "HTTP/1.1 103 Early Hints\r\n\r\n", strings.Repeat("HTTP/1.1 103 Early Hints\r\n\r\n", 20)} {
		checkRejected(t, text, text, false)
	}
}

func checkRejected(t *testing.T, name, text string, stream bool) {
	t.Helper()
	s := serve(t, write(text))
	client := NewClient()
	a, err := client.Do(context.Background(), s.lis.Addr().String(), post("x"), Options{Stream: stream, CloseDelimited: true})
	var e *Error
	if !errors.As(err, &e) || e.Ran != RanUnknown {
		t.Errorf("%q, stream %v: got %v, error %v", name, stream, a, err)
	}
	if client.Idle(s.lis.Addr().String()) {
		t.Errorf("%q, stream %v: the connection is reused", name, stream)
	}
}

// TestInvalidVersion guards against a response of another version of HTTP that is read as one of 1.1, and against chunks in
// a response of HTTP/1.0, which knows none: their sizes reached callers as part of the body.
func TestInvalidVersion(t *testing.T) {
	for _, line := range []string{"HTTP/2.0 200 OK", "HTTP/0.9 200 OK", "HTTP/9.1 200 OK", "HTTP/1.x 200 OK", "HTTP/1 200 OK", "HTTP/11 200 OK", "http/1.1 200 OK", "ICY 200 OK"} {
		checkRejected(t, line, line+"\r\nContent-Length: 2\r\n\r\nok", false)
	}
	for _, field := range []string{"Transfer-Encoding: chunked", "transfer-encoding:chunked", "Transfer-Encoding: identity", "Content-Length: 3\r\nTransfer-Encoding: chunked"} {
		for _, stream := range []bool{false, true} {
			checkRejected(t, field, "HTTP/1.0 200 OK\r\n"+field+"\r\n\r\n2\r\nok\r\n0\r\n\r\n", stream)
		}
	}
}

// TestValidStatus reads status lines in pieces of each length.
func TestValidStatus(t *testing.T) {
	for line, want := range map[string]int{"HTTP/1.1 200 OK": 200, "HTTP/1.1 599 Own": 599, "HTTP/1.1 204": 204, "HTTP/1.2 200 OK": 200, "HTTP/1.0 404 No": 404, "\r\nHTTP/1.1 301 000": 301} {
		for piece := 1; piece < 8; piece++ {
			text := "HTTP/1.1 103 Early Hints\r\n\r\n" + line + "\r\nContent-Length: 0\r\n\r\n"
			res := &fasthttp.Response{}
			if err := readHeader(res, bufio.NewReader(&pieces{text, piece})); err != nil || res.StatusCode() != want {
				t.Errorf("%q in pieces of %d: status %d, error %v", line, piece, res.StatusCode(), err)
			}
		}
	}
}

// pieces reads a text a few bytes at a time.
type pieces struct {
	text string
	n    int
}

func (p *pieces) Read(b []byte) (int, error) {
	if p.text == "" {
		return 0, io.EOF
	}
	n := copy(b, p.text[:min(p.n, len(p.text))])
	p.text = p.text[n:]
	return n, nil
}
