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

// event is one complete server-sent event.
type event struct {
	// id is the latest ID of the stream up to this event.
	id   string
	data string
	// version is the weight version from this event on, zero if the event reports none.
	version uint64
}

// eventReader reads server-sent events (WHATWG HTML, "Server-sent events"). Blocks without data, such
// as comments that keep a connection alive, are no events; the IDs and versions in them belong to the next event.
type eventReader struct {
	br *bufio.Reader
	// id is the latest ID, which holds until another one comes.
	id string
	// versionField is the name of the field that holds a new weight version.
	versionField string
	// maxBytes is the maximum size of the lines of an event.
	maxBytes int
}

func newEventReader(r io.Reader, versionField string, maxBytes int) *eventReader {
	return &eventReader{br: bufio.NewReader(r), versionField: strings.ToLower(versionField), maxBytes: maxBytes}
}

// errNotUTF8 reports an event that is not part of any response: event streams are UTF-8.
var errNotUTF8 = errors.New("event is not valid UTF-8")

// next returns the next complete event. io.EOF means that the stream ended between two
// events.
func (r *eventReader) next() (event, error) {
	var e event
	var data []string
	left, lines := r.maxBytes, 0
	for {
		line, err := r.line(left)
		left -= len(line)
		if errors.Is(err, io.EOF) && (line != "" || lines > 0) {
			return event{}, io.ErrUnexpectedEOF
		}
		if err != nil {
			return event{}, err
		}
		if line == "" {
			if len(data) == 0 {
				left, lines = r.maxBytes, 0
				continue
			}
			e.id, e.data = r.id, strings.Join(data, "\n")
			return e, nil
		}
		if !utf8.ValidString(line) {
			return event{}, errNotUTF8
		}
		lines++
		name, value, _ := strings.Cut(line, ":")
		value = strings.TrimPrefix(value, " ")
		switch name {
		case "id":
			r.id = value
		case "data":
			data = append(data, value)
		case r.versionField:
			if e.version, err = strconv.ParseUint(value, 10, 64); err != nil {
				return event{}, fmt.Errorf("invalid weight version %q in an event", value)
			}
		}
	}
}

// line returns a line of at most limit bytes without its line ending. At the end of the stream it returns
// the remaining bytes and io.EOF.
func (r *eventReader) line(limit int) (string, error) {
	var buf []byte
	for {
		part, err := r.br.ReadSlice('\n')
		buf = append(buf, part...)
		if len(buf) > limit {
			return "", fmt.Errorf("event is larger than %d bytes", r.maxBytes)
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
