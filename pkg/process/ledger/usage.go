package ledger

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
)

// Counters are the usage counters of one workspace. They are cumulative in a
// Source and cover one window in a Figure.
type Counters struct {
	Requests uint64 `json:"requests"`
	Tokens   uint64 `json:"tokens"`
}

// Source holds the counters of one incarnation of an entry host.
type Source struct {
	// Counters is keyed by workspace and never decreases.
	Counters map[string]Counters `json:"counters"`
	// MissedWindows counts the windows that closed since the last report of this
	// incarnation while a newer incarnation of the same host reported.
	MissedWindows int `json:"unseen"`
}

// Usage is the state of usage reporting.
type Usage struct {
	// Next is the number of the open window.
	Next uint64 `json:"next"`
	// Start is the start of the open window in Unix milliseconds.
	Start int64 `json:"start"`
	// Totals holds the counters that closed windows already include. It is keyed
	// by source; see SourceName.
	Totals map[string]*Source `json:"totals"`
	// Pending lists the closed windows that are not reported yet, oldest first.
	Pending []Window `json:"pending"`
	// Reported is the number of reported windows.
	Reported uint64 `json:"reported"`
}

// Window is a closed usage window. It is immutable.
type Window struct {
	Number uint64 `json:"number"`
	// Start and End are in Unix milliseconds. End is exclusive.
	Start   int64    `json:"start"`
	End     int64    `json:"end"`
	Figures []Figure `json:"figures"`
}

// Figure is the usage of one workspace in a window.
type Figure struct {
	Workspace string `json:"workspace"`
	Counters
}

// Encode returns the body of the usage report. It is the same on every replica,
// so a report that is resent, also by a new leader, is identical.
func (w Window) Encode() []byte {
	data, err := json.Marshal(w)
	if err != nil {
		panic(err) // plain structs always encode
	}
	return data
}

// maxMissedWindows is the number of missed windows after which a replaced
// incarnation is dropped. A source that may still report must be retained: if it
// reported after it was dropped, its cumulative usage would be counted twice.
const maxMissedWindows = 100

// SourceName returns the name of an incarnation of an entry host. Names of the
// same host sort by incarnation.
func SourceName(host string, incarnation uint64) string {
	return fmt.Sprintf("%s/%016x", host, incarnation)
}

// CloseWindow closes the open window with the counters that the leader received.
type CloseWindow struct {
	// Number must be the number of the open window.
	Number uint64 `json:"number"`
	// Start is the start of the first window. For later windows it is ignored:
	// they start at the end of the previous one.
	Start int64 `json:"start"`
	// End is the end of the window in Unix milliseconds.
	End int64 `json:"end"`
	// Sources maps source names to cumulative counters by workspace.
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
		u.addIncrease(name, counters, sums)
	}
	u.evictSources(c.Sources)
	u.Pending = append(u.Pending, Window{Number: u.Next, Start: u.Start, End: c.End, Figures: figures(sums)})
	u.Next++
	u.Start = c.End
	return u.Next
}

// addIncrease adds to sums the increase of a source's counters since the last
// window that included the source.
func (u *Usage) addIncrease(name string, counters, sums map[string]Counters) {
	s := u.Totals[name]
	if s == nil {
		s = &Source{Counters: map[string]Counters{}}
		u.Totals[name] = s
	}
	s.MissedWindows = 0
	for w, now := range counters {
		before := s.Counters[w]
		if now.Requests < before.Requests || now.Tokens < before.Tokens {
			continue // stale report: counters never decrease
		}
		sum := sums[w]
		sum.Requests += now.Requests - before.Requests
		sum.Tokens += now.Tokens - before.Tokens
		sums[w] = sum
		s.Counters[w] = now
	}
}

func (u *Usage) evictSources(sources map[string]map[string]Counters) {
	newest := map[string]string{}
	for name := range sources {
		host, _, _ := strings.Cut(name, "/")
		newest[host] = max(newest[host], name)
	}
	for name, s := range u.Totals {
		host, _, _ := strings.Cut(name, "/")
		if name >= newest[host] {
			continue
		}
		if s.MissedWindows++; s.MissedWindows > maxMissedWindows {
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

// MarkReported removes the oldest pending window after the platform has accepted
// its report.
type MarkReported struct {
	Number uint64 `json:"number"`
}

func (l *Ledger) markReported(r MarkReported) uint64 {
	u := &l.Usage
	if len(u.Pending) > 0 && u.Pending[0].Number == r.Number {
		u.Pending = u.Pending[1:]
		u.Reported++
	}
	return u.Reported
}
