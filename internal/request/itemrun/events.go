package itemrun

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"
	"unicode/utf8"
)

// maxLineBytes is the maximum length of a line of a stream.
const maxLineBytes = 1 << 20

// event is one complete server-sent event.
type event struct {
	id   string
	data string
	// version is the weight version from this event on, zero if the event reports none.
	version uint64
	// lines is the number of lines before the blank line that ends the event.
	lines int
}

// eventReader reads server-sent events (WHATWG HTML, "Server-sent events").
type eventReader struct {
	br *bufio.Reader
	// versionField is the name of the field that holds a new weight version.
	versionField string
}

func newEventReader(r io.Reader, versionField string) *eventReader {
	return &eventReader{br: bufio.NewReader(r), versionField: strings.ToLower(versionField)}
}

// errNotUTF8 reports an event that is not part of any response: event streams are UTF-8.
var errNotUTF8 = errors.New("event is not valid UTF-8")

// next returns the next complete event. io.EOF means that the stream ended between two
// events.
func (r *eventReader) next() (event, error) {
	var e event
	var data []string
	for {
		line, err := r.line()
		if errors.Is(err, io.EOF) && (line != "" || e.lines > 0) {
			return event{}, io.ErrUnexpectedEOF
		}
		if err != nil {
			return event{}, err
		}
		if line == "" {
			if e.lines == 0 {
				continue
			}
			e.data = strings.Join(data, "\n")
			return e, nil
		}
		if !utf8.ValidString(line) {
			return event{}, errNotUTF8
		}
		e.lines++
		name, value, _ := strings.Cut(line, ":")
		value = strings.TrimPrefix(value, " ")
		switch name {
		case "id":
			e.id = value
		case "data":
			data = append(data, value)
		case r.versionField:
			if e.version, err = strconv.ParseUint(value, 10, 64); err != nil {
				return event{}, fmt.Errorf("invalid weight version %q in an event", value)
			}
		}
	}
}

// line returns a line without its line ending. At the end of the stream it returns the
// remaining bytes and io.EOF.
func (r *eventReader) line() (string, error) {
	var buf []byte
	for {
		part, err := r.br.ReadSlice('\n')
		buf = append(buf, part...)
		if len(buf) > maxLineBytes {
			return "", fmt.Errorf("event line is longer than %d bytes", maxLineBytes)
		}
		if errors.Is(err, bufio.ErrBufferFull) {
			continue
		}
		if err != nil {
			return string(buf), err
		}
		return string(bytes.TrimRight(buf, "\r\n")), nil
	}
}
