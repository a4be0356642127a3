package history

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"
)

const (
	// lineMost is the longest line that is read, in bytes.
	lineMost = 1 << 20
	// before and after widen the span of a story: a leader is lost up to an
	// election before a request feels it.
	before, after = 3 * time.Second, time.Second
)

// beliefs are the messages with which a process changes what it believes.
var beliefs = map[string]bool{
	"started": true, "stopped": true, "settings reloaded": true, "role changed": true, "driving batches": true,
	"lost control, going on with what is known": true, "regained control": true, "store leader changed": true,
	"catalog changed": true, "membership changed": true, "opened an office": true, "log lines dropped": true,
}

// Line is one log line.
type Line struct {
	Time time.Time
	Host string
	// Message is what happened, Fields the rest.
	Message string
	Fields  map[string]any
	// order keeps lines of the same time as they were read.
	order int
}

// Read returns the lines that can be read. What stands before the first brace of
// a line, as platforms write it, is skipped; bad counts the lines without one.
func Read(r io.Reader) (lines []Line, bad int, err error) {
	in := bufio.NewScanner(r)
	in.Buffer(nil, lineMost)
	for in.Scan() {
		line, err := parse(in.Bytes())
		if err != nil {
			bad++
			continue
		}
		line.order = len(lines)
		lines = append(lines, line)
	}
	return lines, bad, in.Err()
}

func parse(text []byte) (Line, error) {
	i := bytes.IndexByte(text, '{')
	if i < 0 {
		return Line{}, errors.New("no object")
	}
	fields := map[string]any{}
	if err := json.Unmarshal(text[i:], &fields); err != nil {
		return Line{}, err
	}
	l := Line{Fields: fields}
	l.Host, _ = fields["host"].(string)
	l.Message, _ = fields["msg"].(string)
	stamp, _ := fields["time"].(string)
	at, err := time.Parse(time.RFC3339Nano, stamp)
	for _, name := range []string{"host", "msg", "time", "level", "role"} {
		delete(fields, name)
	}
	l.Time = at
	return l, err
}

// names reports whether a field of the line is the id.
func (l *Line) names(id string) bool {
	for _, v := range l.Fields {
		if s, ok := v.(string); ok && s == id {
			return true
		}
	}
	return false
}

// String returns the line for people: time, host, what happened, fields by name.
func (l *Line) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %-20s %s", l.Time.Format("15:04:05.000"), l.Host, l.Message)
	for _, name := range slices.Sorted(maps.Keys(l.Fields)) {
		value, err := json.Marshal(l.Fields[name])
		if err != nil {
			continue // it was decoded from JSON
		}
		fmt.Fprintf(&b, " %s=%s", name, value)
	}
	return b.String()
}

// Story returns the lines that tell what became of an id, in the order of time.
// It is empty if no line names the id.
func Timeline(lines []Line, id string) []Line {
	s := &story{id: id, hosts: map[string]bool{}, instances: map[string]bool{}}
	for i := range lines {
		if lines[i].names(id) {
			s.take(&lines[i])
		}
	}
	var out []Line
	for i := range lines {
		if s.tells(&lines[i]) {
			out = append(out, lines[i])
		}
	}
	slices.SortStableFunc(out, func(a, b Line) int { return a.Time.Compare(b.Time) })
	return out
}

// story is what is known of an id.
type story struct {
	id               string
	from, to         time.Time
	hosts, instances map[string]bool
}

// take learns from a line with the id.
func (s *story) take(l *Line) {
	if s.from.IsZero() || l.Time.Before(s.from) {
		s.from = l.Time
	}
	if l.Time.After(s.to) {
		s.to = l.Time
	}
	s.hosts[l.Host] = true
	if x, ok := l.Fields["instance"].(string); ok && x != "" {
		s.instances[x] = true
	}
}

// tells reports whether a line belongs to the story.
func (s *story) tells(l *Line) bool {
	if l.names(s.id) {
		return true
	}
	if len(s.hosts) == 0 || l.Time.Before(s.from.Add(-before)) || l.Time.After(s.to.Add(after)) {
		return false
	}
	if x, ok := l.Fields["instance"].(string); ok && s.instances[x] {
		_, request := l.Fields["request"]
		_, item := l.Fields["item"]
		return !request && !item // those are other stories
	}
	state, _ := l.Fields["state"].(string)
	return beliefs[l.Message] && (s.hosts[l.Host] || state == "leader")
}
