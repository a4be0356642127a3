package attempt

import (
	"bufio"
	"bytes"
	"fmt"
	"strings"

	"github.com/valyala/fasthttp"
	"golang.org/x/net/http/httpguts"
)

// HeaderLineError reports a line of a response's header that is no field (RFC 9112, section 5), a transfer coding
// that its version of HTTP does not know, a status line with control bytes or of another major version, or a
// line that does not end with CRLF.
type HeaderLineError struct{ Line string }

func newHeaderLineError(line []byte) *HeaderLineError {
	return &HeaderLineError{string(line[:min(len(line), maxLineBytes)])}
}

func (e *HeaderLineError) Error() string {
	return fmt.Sprintf("header of the response has the invalid line %q", e.Line)
}

// maxLineBytes bounds the line in an error.
const maxLineBytes = 64

// readHeader reads the header of the final response and skips informational ones.
func readHeader(res *fasthttp.Response, br *bufio.Reader) error {
	for range maxInformational + 1 {
		status, err := checkHeader(br)
		if err != nil {
			return err
		}
		if err := res.Header.Read(br); err != nil {
			return err
		}
		if status >= fasthttp.StatusOK {
			return nil
		}
	}
	return errNoProgress
}

// checkHeader checks the header that br reads next and returns its status. fasthttp.ResponseHeader returns 200 for a
// status of 000, and it accepts names with blanks, folded lines, an empty line without CR and any version, which cannot
// be seen in what it returns. The status is 0 if the header is not complete; the error comes with reading it.
func checkHeader(br *bufio.Reader) (int, error) {
	c, checked := headerCheck{}, 0
	for n := 1; n <= br.Size(); n = br.Buffered() + 1 {
		if _, err := br.Peek(n); err != nil {
			return 0, nil
		}
		b, err := br.Peek(br.Buffered())
		if err != nil {
			return 0, nil
		}
		for {
			line, _, found := bytes.Cut(b[checked:], []byte("\n"))
			if !found {
				break
			}
			checked += len(line) + 1
			if err := c.check(line); err != nil || c.complete {
				return c.status, err
			}
		}
	}
	return 0, nil
}

// headerCheck checks a header line by line.
type headerCheck struct {
	// status is 0 before the status line.
	status int
	// old is true in a version of HTTP for which fasthttp ignores Transfer-Encoding. HTTP/1.0 has none (RFC 9112, section 6.1).
	old bool
	// complete is true after the empty line at the end.
	complete bool
}

// check checks a line, given without its LF.
func (c *headerCheck) check(line []byte) (err error) {
	text, crlf := bytes.CutSuffix(line, []byte("\r"))
	switch {
	case !crlf:
		return newHeaderLineError(line)
	case len(text) == 0:
		// A server may send an empty line after the body of its previous response.
		c.complete = c.status != 0
		return nil
	case c.status == 0:
		c.old = !bytes.HasPrefix(text, []byte("HTTP/1.1 "))
		c.status, err = parseStatusLine(text)
		return err
	}
	// A folded line, which is obsolete, cannot be told from a name with a blank in front.
	name, _, found := bytes.Cut(text, []byte(":"))
	if !found || !httpguts.ValidHeaderFieldName(string(name)) || c.old && strings.EqualFold(string(name), fasthttp.HeaderTransferEncoding) {
		return newHeaderLineError(text)
	}
	return nil
}
