package attempt

import (
	"bufio"
	"io"
	"strings"
	"testing"

	"github.com/valyala/fasthttp"
	"pgregory.net/rapid"
)

// separators are the printable bytes that no field name has (RFC 9110, section 5.6.2), without the colon that ends it.
const separators = "\"(),/;<=>?@[\\]{} "

// invalidNames returns names with each byte that no field name has: in front, inside and at the end.
func invalidNames(name string) []string {
	var all []string
	for c := range 256 {
		if c > ' ' && c < 0x7f && !strings.ContainsRune(separators, rune(c)) {
			continue
		}
		b := string([]byte{byte(c)})
		all = append(all, b+name, name[:1]+b+name[1:], name+b)
	}
	return append(all, "  "+name, name+"  ", name+" \t", "\n "+name, "\r\r\n"+name, name+"\r\n ", name+"\r\r\n")
}

// TestInvalidHeaderLine guards against a header with a line that is no field, which reached callers: the line was passed
// on, or the length of the body was not seen.
func TestInvalidHeaderLine(t *testing.T) {
	var lines []string
	for _, field := range []string{"X-A: b", "Content-Length: 2", "Transfer-Encoding: chunked"} {
		name, value, _ := strings.Cut(field, ":")
		for _, name := range invalidNames(name) {
			lines = append(lines, name+":"+value)
		}
	}
	for _, line := range append(lines, "no colon", "\x00", ":", ": b", " ", "\t", "HTTP/1.1 200 OK") {
		for _, before := range []string{"HTTP/1.1 200 OK", "HTTP/1.1 200 OK\r\nX-B: c", "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nX-B: c", "HTTP/1.1 103 Early Hints"} {
			text := before + "\r\n" + line + "\r\nContent-Length: 2\r\n\r\n" + validResponse
			if err := readHeader(&fasthttp.Response{}, bufio.NewReader(strings.NewReader(text))); err == nil {
				t.Errorf("%q after %q is accepted", line, before)
			}
		}
	}
	for _, line := range []string{"HTTP/1.1 200 O\x00K", "HTTP/1.1 200 O\rX-A: b", "HTTP/1.1 200 O\x7fK", "HTTP/1.1 200 OK\nX-A: b", "\nHTTP/1.1 200 OK"} {
		if err := readHeader(&fasthttp.Response{}, bufio.NewReader(strings.NewReader(line+"\r\nContent-Length: 2\r\n\r\n"+validResponse))); err == nil {
			t.Errorf("%q is accepted", line)
		}
	}
}

const validResponse = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

// TestResponseWithInvalidName checks that such a request may have run and that the connection is closed.
func TestResponseWithInvalidName(t *testing.T) {
	for _, line := range []string{"X A: b", "X-A : b", " X-A: b", "X-A\x00: b", "\nX-A: b", "Content Length: 2", "Content-Length : 2", "Transfer Encoding: chunked"} {
		for _, early := range []string{"", "HTTP/1.1 103 Early Hints\r\n\r\n"} {
			for _, stream := range []bool{false, true} {
				checkRejected(t, line, early+"HTTP/1.1 200 OK\r\nX-B: c\r\n"+line+"\r\n\r\n2\r\nok\r\n0\r\n\r\n"+validResponse, stream)
			}
		}
	}
}

// TestValidHeader reads headers in pieces of each length, and none of what follows.
func TestValidHeader(t *testing.T) {
	for _, lines := range []string{"", "X-A:\r\n", "X-A: b\r\n", "x!#$%&'*+-.^_`|~1: b: c\r\n", "A: \xe9 b\tc\r\nB:c \r\n"} {
		for piece := 1; piece < 9; piece++ {
			text := "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 200 OK\r\n" + lines + "\r\n"
			br := bufio.NewReader(&pieces{text + "X A: b\r\n", piece})
			if err := readHeader(&fasthttp.Response{}, br); err != nil {
				t.Errorf("%q in pieces of %d: %v", lines, piece, err)
			}
			if rest, _ := io.ReadAll(br); string(rest) != "X A: b\r\n" {
				t.Errorf("%q in pieces of %d: %q is left", lines, piece, rest)
			}
		}
	}
}

// TestHeadersOfAnyBytes compares what is read of headers with one changed byte with a second implementation of RFC 9112.
func TestHeadersOfAnyBytes(t *testing.T) {
	const valid = "HTTP/1.1 200 OK\r\nX-A: b\r\nContent-Length: 2\r\n\r\n"
	rapid.Check(t, func(t *rapid.T) {
		b := []byte(valid)
		b[rapid.IntRange(len("HTTP/1.1 200 "), len(b)-1).Draw(t, "index")] = rapid.Byte().Draw(t, "byte")
		res := &fasthttp.Response{}
		err := readHeader(res, bufio.NewReader(&pieces{string(b) + "ok", rapid.IntRange(1, 60).Draw(t, "piece")}))
		want := map[string]string{}
		head, _, found := strings.Cut(string(b), "\r\n\r\n")
		for _, line := range strings.Split(head, "\r\n")[1:] {
			name, value, colon := strings.Cut(line, ":")
			found = found && colon && name != "" && !strings.ContainsFunc(name, func(r rune) bool { return r <= ' ' || r >= 0x7f || strings.ContainsRune(separators, r) })
			want[strings.ToLower(name)] = strings.Trim(value, " \t")
		}
		if err == nil && !found {
			t.Fatalf("%q is accepted", b)
		}
		if err == nil {
			for name, value := range want {
				if got := string(res.Header.Peek(name)); got != value {
					t.Fatalf("%q: field %s is %q, want %q", b, name, got, value)
				}
			}
		}
	})
}
