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
	// maxLineBytes is the maximum length of a line.
	maxLineBytes = 1 << 20
	// spanBefore and spanAfter widen the span of a timeline: a leader is lost up to an
	// election before a request is affected.
	spanBefore, spanAfter = 3 * time.Second, time.Second
)

// stateChanges are the messages of lines that report a change in the state of a process
// or in its view of the site.
var stateChanges = map[string]bool{
	"started": true, "stopped": true, "settings reloaded": true, "role changed": true, "driving batches": true,
	"lost control, going on with what is known": true, "regained control": true, "store leader changed": true,
	"catalog changed": true, "membership changed": true, "leadership established": true, "log lines dropped": true,
	"control grants no permits, hosts take turns at servers with a limit": true, "permits are granted again": true,
	// Logs of earlier releases have this message in place of "leadership established".
	"opened an office": true,
}

// Line is one log line.
type Line struct {
	Time time.Time
	Host string
	// Message is the log message, Fields the remaining fields.
	Message string
	Fields  map[string]any
	// order is the position of the line in the input.
	order int
}

// Read returns the lines that can be parsed. It skips the text before the first brace of
// a line, where platforms put prefixes. bad counts the lines that have no JSON object or
// a malformed one.
func Read(r io.Reader) (lines []Line, bad int, err error) {
	in := bufio.NewScanner(r)
	in.Buffer(nil, maxLineBytes)
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
		return Line{}, errors.New("log line has no JSON object")
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

// hasID reports whether a field of the line is the ID.
func (l *Line) hasID(id string) bool {
	for _, v := range l.Fields {
		if s, ok := v.(string); ok && s == id {
			return true
		}
	}
	return false
}

// String formats the line for people: time, host, message, fields sorted by name.
func (l *Line) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %-20s %s", l.Time.Format("15:04:05.000"), l.Host, l.Message)
	for _, name := range slices.Sorted(maps.Keys(l.Fields)) {
		value, err := json.Marshal(l.Fields[name])
		if err != nil {
			continue // cannot happen: the value was decoded from JSON
		}
		fmt.Fprintf(&b, " %s=%s", name, value)
	}
	return b.String()
}

// Timeline returns the lines that explain what happened to an ID, ordered by time. It is
// empty if no line names the ID.
func Timeline(lines []Line, id string) []Line {
	t := &timeline{id: id, hosts: map[string]bool{}, instances: map[string]bool{}, requests: map[string]bool{},
		fingerprints: map[string]bool{}, limited: map[string]bool{}}
	for i := range lines {
		if lines[i].hasID(id) {
			t.add(&lines[i])
		}
	}
	var out []Line
	for i := range lines {
		if t.includes(&lines[i]) {
			out = append(out, lines[i])
		}
	}
	slices.SortStableFunc(out, func(a, b Line) int { return a.Time.Compare(b.Time) })
	return out
}

// timeline selects the lines for one ID.
type timeline struct {
	id               string
	from, to         time.Time
	hosts, instances map[string]bool
	// requests holds the requests that were made for the item with the ID, the calls of its
	// scorer, and the requests whose content has the ID as its fingerprint.
	requests map[string]bool
	// fingerprints holds the contents of the request with the ID: lines about other requests
	// with the same content explain why it was refused.
	fingerprints map[string]bool
	// limited holds the instances whose rate limits kept the request with the ID from them.
	limited map[string]bool
}

// add records the time, host and instance of a line that names the ID.
func (t *timeline) add(l *Line) {
	if t.from.IsZero() || l.Time.Before(t.from) {
		t.from = l.Time
	}
	if l.Time.After(t.to) {
		t.to = l.Time
	}
	t.hosts[l.Host] = true
	if x, ok := l.Fields["instance"].(string); ok && x != "" {
		t.instances[x] = true
	}
	limited, _ := l.Fields["limited"].([]any)
	for _, x := range limited {
		if id, ok := x.(string); ok {
			t.limited[id] = true
		}
	}
	item, _ := l.Fields["item"].(string)
	fingerprint, _ := l.Fields["fingerprint"].(string)
	request, _ := l.Fields["request"].(string)
	if request != "" && (item == t.id || fingerprint == t.id) {
		t.requests[request] = true
	}
	if fingerprint != "" && request == t.id {
		t.fingerprints[fingerprint] = true
	}
}

// includes reports whether a line belongs to the timeline.
func (t *timeline) includes(l *Line) bool {
	request, hasRequest := l.Fields["request"].(string)
	fingerprint, _ := l.Fields["fingerprint"].(string)
	if l.hasID(t.id) || t.requests[request] || t.fingerprints[fingerprint] {
		return true
	}
	instance, _ := l.Fields["instance"].(string)
	if t.limited[instance] && strings.HasPrefix(l.Message, "server limit ") {
		return !l.Time.After(t.to.Add(spanAfter)) // a limit may have been named long before
	}
	if len(t.hosts) == 0 || l.Time.Before(t.from.Add(-spanBefore)) || l.Time.After(t.to.Add(spanAfter)) {
		return false
	}
	if instance != "" && t.instances[instance] {
		_, item := l.Fields["item"]
		return !hasRequest && !item // lines about other requests and items
	}
	state, _ := l.Fields["state"].(string)
	return stateChanges[l.Message] && (t.hosts[l.Host] || state == "leader")
}
