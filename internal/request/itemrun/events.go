package itemrun

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"
)

// eventMost is the longest line of a stream in bytes.
const maxLineBytes = 1 << 20

// event is one whole server-sent event.
type event struct {
	id   string
	data string
	// version is the weight version from this event on, zero if it is not told.
	version uint64
	// fields counts the lines that were read.
	lines int
}

// reader reads server-sent events (WHATWG HTML, "Server-sent events").
type eventReader struct {
	br *bufio.Reader
	// versionField is the name of the line that tells a new weight version.
	versionField string
}

func newEventReader(r io.Reader, versionField string) *eventReader {
	return &eventReader{br: bufio.NewReader(r), versionField: strings.ToLower(versionField)}
}

// next returns the next whole event. io.EOF means that the stream ended
// between two events.
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
				return event{}, fmt.Errorf("the version %q of an event is not a number", value)
			}
		}
	}
}

// line returns a line without its end. At the end of the stream it returns
// what is there and io.EOF.
func (r *eventReader) line() (string, error) {
	var buf []byte
	for {
		part, err := r.br.ReadSlice('\n')
		buf = append(buf, part...)
		if len(buf) > maxLineBytes {
			return "", fmt.Errorf("a line of an event is longer than %d bytes", maxLineBytes)
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
