package ledger

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
)

// Counters are cumulative figures of one workspace.
type Counters struct {
	Requests uint64 `json:"requests"`
	Tokens   uint64 `json:"tokens"`
}

// Source is what one incarnation of an entry host has counted so far.
type Source struct {
	// Counters is keyed by workspace and never decreases.
	Counters map[string]Counters `json:"counters"`
	// Unseen counts the windows that closed since a newer incarnation of the
	// same host was heard.
	MissedWindows int `json:"unseen"`
}

// Usage is the state of usage reporting.
type Usage struct {
	// Next is the number of the open window.
	Next uint64 `json:"next"`
	// Start is the start of the open window in Unix milliseconds.
	Start int64 `json:"start"`
	// Totals holds what closed windows include, by source.
	Totals map[string]*Source `json:"totals"`
	// Pending lists closed windows that are not reported yet, in order.
	Pending []Window `json:"pending"`
	// Reported is the number of windows that were reported.
	Reported uint64 `json:"reported"`
}

// Window is a closed usage window. Its figures never change.
type Window struct {
	Number uint64 `json:"number"`
	// Start and End are in Unix milliseconds; End is exclusive.
	Start   int64    `json:"start"`
	End     int64    `json:"end"`
	Figures []Figure `json:"figures"`
}

// Figure is the usage of one workspace in a window.
type Figure struct {
	Workspace string `json:"workspace"`
	Counters
}

// Encode returns the bytes to report; they are the same on every replica.
func (w Window) Encode() []byte {
	data, err := json.Marshal(w)
	if err != nil {
		panic(err) // a plain struct always encodes
	}
	return data
}

// unseenMost is the number of windows after which a replaced incarnation is
// forgotten. A source that may still return is kept: forgetting it would count
// its usage twice.
const unseenMost = 100

// SourceName names an incarnation of an entry host.
func SourceName(host string, incarnation uint64) string {
	return fmt.Sprintf("%s/%016x", host, incarnation)
}

// Close closes the open window with the figures that the leader has heard.
type CloseWindow struct {
	// Number must be the number of the open window.
	Number uint64 `json:"number"`
	// Start is used for the first window only, which has no former one.
	Start int64 `json:"start"`
	// End is the end of the window in Unix milliseconds.
	End int64 `json:"end"`
	// Sources is keyed by host and incarnation.
	Sources map[string]map[string]Counters `json:"sources"`
}

func (l *Ledger) closeWindow(c CloseWindow) uint64 {
	u := &l.Usage
	if c.Number != u.Next || c.End <= u.Start {
		return u.Next
	}
	if u.Start == 0 {
		u.Start = c.Start
	}
	sums := map[string]Counters{}
	for name, counters := range c.Sources {
		u.take(name, counters, sums)
	}
	u.forget(c.Sources)
	u.Pending = append(u.Pending, Window{Number: u.Next, Start: u.Start, End: c.End, Figures: figures(sums)})
	u.Next++
	u.Start = c.End
	return u.Next
}

// take adds to sums what a source counted since the last window.
func (u *Usage) take(name string, counters, sums map[string]Counters) {
	s := u.Totals[name]
	if s == nil {
		s = &Source{Counters: map[string]Counters{}}
		u.Totals[name] = s
	}
	s.MissedWindows = 0
	for w, now := range counters {
		before := s.Counters[w]
		if now.Requests < before.Requests || now.Tokens < before.Tokens {
			continue // an old message; counters never decrease
		}
		sum := sums[w]
		sum.Requests += now.Requests - before.Requests
		sum.Tokens += now.Tokens - before.Tokens
		sums[w] = sum
		s.Counters[w] = now
	}
}

func (u *Usage) forget(heard map[string]map[string]Counters) {
	newest := map[string]string{}
	for name := range heard {
		host, _, _ := strings.Cut(name, "/")
		newest[host] = max(newest[host], name)
	}
	for name, s := range u.Totals {
		host, _, _ := strings.Cut(name, "/")
		if name >= newest[host] {
			continue
		}
		if s.MissedWindows++; s.MissedWindows > unseenMost {
			delete(u.Totals, name)
		}
	}
}

func figures(sums map[string]Counters) []Figure {
	out := []Figure{}
	for w, c := range sums {
		if c.Requests > 0 || c.Tokens > 0 {
			out = append(out, Figure{w, c})
		}
	}
	slices.SortFunc(out, func(a, b Figure) int { return strings.Compare(a.Workspace, b.Workspace) })
	return out
}

// Report notes that the platform has taken a window.
type MarkReported struct {
	Number uint64 `json:"number"`
}

func (l *Ledger) reported(r MarkReported) uint64 {
	u := &l.Usage
	if len(u.Pending) > 0 && u.Pending[0].Number == r.Number {
		u.Pending = u.Pending[1:]
		u.Reported++
	}
	return u.Reported
}
