package catalog

import (
	"encoding/json"
	"fmt"
	"reflect"

	"github.com/plantainbank/plantainbank/internal/version/routing"
	"github.com/plantainbank/plantainbank/pkg/process/deflate"
)

const (
	// maxDifferences and maxDifferenceBytes bound the differences that a process keeps. A host
	// that is further behind gets a full copy.
	maxDifferences     = 64
	maxDifferenceBytes = 1 << 20
	// maxDecodedBytes bounds a difference or a copy once it is decompressed.
	maxDecodedBytes = 64 << 20
	// maxElements bounds a list that a difference describes.
	maxElements = 1 << 20
)

// MismatchError reports a difference that does not apply to the state at hand.
type MismatchError struct {
	// From is the revision that the difference applies to, Have the revision at hand.
	From, Have uint64
	Problem    string
}

func (e *MismatchError) Error() string {
	return fmt.Sprintf("a difference from revision %d does not apply to revision %d: %s", e.From, e.Have, e.Problem)
}

// Difference leads from one revision of the public state to the next. Its size depends on what has
// changed, not on the size of the configuration.
type Difference struct {
	From uint64 `json:"from"`
	To   uint64 `json:"to"`
	// Public is the state after the change, without the configuration.
	Public Public `json:"public"`
	// Config is nil if the configuration is the same.
	Config *ConfigDifference `json:"config,omitempty"`
}

// ConfigDifference leads from one version of the configuration to another.
type ConfigDifference struct {
	// Version is the version after the change, Former the one before it.
	Former     uint64                   `json:"former"`
	Version    uint64                   `json:"version"`
	Limits     routing.Limits           `json:"limits"`
	Routes     []Run[routing.Route]     `json:"routes,omitempty"`
	Services   []Run[routing.Service]   `json:"services,omitempty"`
	Workspaces []Run[routing.Workspace] `json:"workspaces,omitempty"`
}

// Run is a part of a list: Count elements of the former list from Start on, then new ones.
type Run[T any] struct {
	Start int `json:"start,omitempty"`
	Count int `json:"count,omitempty"`
	New   []T `json:"new,omitempty"`
}

// newDifference returns the difference between two states, or false if it would need a full
// configuration.
func newDifference(from, to uint64, before, after Public) (*Difference, bool) {
	d := &Difference{From: from, To: to, Public: after}
	d.Public.Config = nil
	if before.Config == after.Config {
		return d, true
	}
	if before.Config == nil || after.Config == nil {
		return nil, false
	}
	d.Config = &ConfigDifference{Former: before.Config.Version, Version: after.Config.Version, Limits: after.Config.Limits,
		Routes:     runs(before.Config.Routes, after.Config.Routes, func(r *routing.Route) string { return r.Host + " " + r.Prefix }),
		Services:   runs(before.Config.Services, after.Config.Services, func(s *routing.Service) string { return s.Name }),
		Workspaces: runs(before.Config.Workspaces, after.Config.Workspaces, func(w *routing.Workspace) string { return w.Name })}
	return d, true
}

// runs describes a list by runs of a former one. Elements are looked up by key; those that were
// moved are found, and those that differ are new.
func runs[T any](before, after []T, key func(*T) string) []Run[T] {
	index := make(map[string]int, len(before))
	for i := range before {
		index[key(&before[i])] = i
	}
	var out []Run[T]
	next := 0
	for i := range after {
		x := &after[i]
		last := len(out) - 1
		if next < len(before) && reflect.DeepEqual(before[next], *x) && last >= 0 && len(out[last].New) == 0 {
			out[last].Count++
			next++
			continue
		}
		if at, ok := index[key(x)]; ok && reflect.DeepEqual(before[at], *x) {
			out = append(out, Run[T]{Start: at, Count: 1})
			next = at + 1
			continue
		}
		if last < 0 {
			out = append(out, Run[T]{})
			last = 0
		}
		out[last].New = append(out[last].New, *x)
	}
	return out
}

// Apply returns the state after the change. before is not modified. The error is a *MismatchError.
func (d *Difference) Apply(revision uint64, before Public) (Public, error) {
	mismatch := func(problem string) (Public, error) {
		return Public{}, &MismatchError{d.From, revision, problem}
	}
	after := d.Public
	after.Config = before.Config
	switch {
	case d.From != revision:
		return mismatch("another revision")
	case d.Config == nil:
		return after, nil
	case before.Config == nil || before.Config.Version != d.Config.Former:
		return mismatch("another version of the configuration")
	}
	c := &routing.Config{Version: d.Config.Version, Limits: d.Config.Limits}
	var ok [3]bool
	c.Routes, ok[0] = join(before.Config.Routes, d.Config.Routes)
	c.Services, ok[1] = join(before.Config.Services, d.Config.Services)
	c.Workspaces, ok[2] = join(before.Config.Workspaces, d.Config.Workspaces)
	if ok != [3]bool{true, true, true} {
		return mismatch("a run is out of range")
	}
	after.Config = c
	return after, nil
}

// join returns the list that runs describe, or false if they refer to elements that do not exist.
func join[T any](before []T, runs []Run[T]) ([]T, bool) {
	n := 0
	for _, r := range runs {
		if r.Start < 0 || r.Count < 0 || r.Start > len(before) || r.Count > len(before)-r.Start {
			return nil, false
		}
		if n += r.Count + len(r.New); n > maxElements {
			return nil, false
		}
	}
	out := make([]T, 0, n)
	for _, r := range runs {
		out = append(out, before[r.Start:r.Start+r.Count]...)
		out = append(out, r.New...)
	}
	return out, true
}

// encode returns the difference in compressed JSON.
func (d *Difference) encode() ([]byte, error) { return deflate.Compress(encode(d)) }

// DecodeDifference decodes a difference that Since has returned.
func DecodeDifference(data []byte) (*Difference, error) {
	d := &Difference{}
	if err := decodeCompressed(data, d); err != nil {
		return nil, fmt.Errorf("cannot decode a difference: %w", err)
	}
	return d, nil
}

// Encode returns the state in JSON.
func (p *Public) Encode() []byte { return encode(p) }

// DecodePublic decodes a full copy of the state, which may be compressed.
func DecodePublic(data []byte, compressed bool) (p Public, err error) {
	if compressed {
		err = decodeCompressed(data, &p)
	} else {
		err = json.Unmarshal(data, &p)
	}
	if err != nil {
		return Public{}, fmt.Errorf("cannot decode the public state: %w", err)
	}
	return p, nil
}

func decodeCompressed(data []byte, v any) error {
	text, err := deflate.Decompress(data, maxDecodedBytes)
	if err != nil {
		return err
	}
	return json.Unmarshal(text, v)
}

// differences are the latest changes of the public state, encoded, oldest first. Each begins
// where the one before it ends.
type differences struct {
	all   []encodedDifference
	bytes int
}

type encodedDifference struct {
	from uint64
	data []byte
}

// add appends the difference between two states. Without one, the earlier differences lead nowhere
// and are dropped.
func (x *differences) add(from, to uint64, before, after Public) {
	var data []byte
	d, ok := newDifference(from, to, before, after)
	if ok {
		var err error
		data, err = d.encode()
		ok = err == nil
	}
	if !ok {
		x.all, x.bytes = nil, 0
		return
	}
	x.all = append(x.all, encodedDifference{from, data})
	x.bytes += len(data)
	for len(x.all) > maxDifferences || x.bytes > maxDifferenceBytes {
		x.bytes -= len(x.all[0].data)
		x.all = x.all[1:]
	}
}

// Since returns the encoded differences that lead from a revision to the current one, in order, or
// false if they are not known.
func (c *Catalog) Since(revision uint64) (out [][]byte, ok bool) {
	for i, d := range c.differences.all {
		if d.from == revision {
			for _, e := range c.differences.all[i:] {
				out = append(out, e.data)
			}
			return out, true
		}
	}
	return nil, false
}
