package attempt

import (
	"bufio"
	"bytes"
	"fmt"

	"github.com/valyala/fasthttp"
	"golang.org/x/net/http/httpguts"
)

// HeaderLineError reports a line of a response's header that is no field (RFC 9112, section 5), a status line with
// control bytes, or a line that does not end with CRLF.
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
// status of 000, and it accepts names with blanks, folded lines and an empty line without CR, which cannot be seen
// in what it returns. The status is 0 if the header is not complete; the error comes with reading it.
func checkHeader(br *bufio.Reader) (int, error) {
	status, checked := 0, 0
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
			text, crlf := bytes.CutSuffix(line, []byte("\r"))
			switch {
			case !crlf:
				return 0, newHeaderLineError(line)
			case len(text) == 0 && status != 0:
				return status, nil
			case len(text) == 0:
				// A server may send an empty line after the body of its previous response.
			case status == 0:
				if status, err = parseStatusLine(text); err != nil {
					return 0, err
				}
			case !isField(text):
				return 0, newHeaderLineError(text)
			}
		}
	}
	return 0, nil
}

// isField reports whether a line is a field by its name: a folded line, which is obsolete, cannot be told from a name
// with a blank in front.
func isField(line []byte) bool {
	name, _, found := bytes.Cut(line, []byte(":"))
	return found && httpguts.ValidHeaderFieldName(string(name))
}
