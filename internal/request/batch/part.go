package batch

import (
	"encoding/binary"
	"maps"
	"slices"
	"strings"

	"github.com/zeebo/xxh3"

	"github.com/plantainbank/plantainbank/service/batchlog"
)

// Part is what runs of an item have brought so far.
type PartialResult struct {
	// Events is the number of events.
	Events int `json:"events"`
	// Chunks hold the data of the events in compressed form.
	Chunks [][]byte `json:"chunks"`
	// LastID is the number of the last event.
	LastEventID string   `json:"lastid"`
	Versions    []uint64 `json:"versions"`
}

// Save adds to the part of an item.
type Checkpoint struct {
	Batch string `json:"batch"`
	Item  string `json:"item"`
	// From is the number of events in earlier chunks; zero begins anew.
	Offset int `json:"from"`
	// Part has one chunk, and the number of all events.
	Partial *PartialResult `json:"part"`
}

// Text returns the data of the events, joined by line feeds.
func (p *PartialResult) Text() (string, error) {
	var texts []string
	for _, chunk := range p.Chunks {
		text, err := unpack(chunk)
		if err != nil {
			return "", err
		}
		texts = append(texts, text)
	}
	return strings.Join(texts, "\n"), nil
}

// Fits reports whether versions may stand in a result of a batch.
func (b *Batch) AllowsVersions(versions []uint64) bool {
	return len(versions) > 0 && slices.Min(versions) >= b.MinVersion
}

// save adds to the part of an open item. A chunk that does not follow the former
// one is dropped: runs that began anew have overtaken it.
func (s *Store) save(x *Checkpoint) {
	b := s.all[x.Batch]
	if b == nil || b.Ended || x.Partial == nil || len(x.Partial.Chunks) != 1 {
		return
	}
	i, ok := b.index[x.Item]
	if !ok || b.listed[x.Item] {
		return
	}
	next := *x.Partial
	if held := b.Items[i].Partial; x.Offset > 0 {
		if held == nil || held.Events != x.Offset {
			return
		}
		next.Chunks = append(slices.Clone(held.Chunks), x.Partial.Chunks[0])
	}
	b.Items[i].Partial = &next
}

// Carry gives the items of a batch that is handed in what earlier batches of the
// same workspace, route and model hold of them: results that its versions allow,
// or parts. A trainer hands in groups that were not whole again under the same
// names. Only an item that asks the same thing as the earlier one counts.
func (s *Store) ReuseResults(b *Batch) {
	listed := map[string]bool{}
	for _, p := range s.all {
		if p.Workspace != b.Workspace || p.Route != b.Route || p.Model != b.Model || p.ID == b.ID {
			continue
		}
		for i := range b.Items {
			x := &b.Items[i]
			j, ok := p.index[x.ID]
			if !ok || listed[x.ID] || p.Items[j].Fingerprint != x.fingerprint() {
				continue
			}
			if r := p.result(x.ID); r != nil && r.State == Completed && b.AllowsVersions(r.Versions) {
				b.Results = append(b.Results, *r)
				listed[x.ID] = true
				continue
			}
			if part := p.Items[j].Partial; part != nil && b.AllowsVersions(part.Versions) && (x.Partial == nil || part.Events > x.Partial.Events) {
				x.Partial = part
			}
		}
	}
}

// result returns the result of an item, or nil.
func (b *Batch) result(item string) *Result {
	if !b.listed[item] {
		return nil
	}
	i := slices.IndexFunc(b.Results, func(r Result) bool { return r.Item == item })
	return &b.Results[i]
}

// fingerprint hashes what an item asks.
func (x *Item) fingerprint() uint64 {
	if x.Fingerprint != 0 {
		return x.Fingerprint
	}
	h := xxh3.New()
	add := func(text string) {
		h.Write(binary.LittleEndian.AppendUint64(nil, uint64(len(text))))
		h.WriteString(text)
	}
	add(x.Path)
	add(string(x.Body))
	for _, name := range slices.Sorted(maps.Keys(x.Headers)) {
		add(name)
		add(x.Headers[name])
	}
	return h.Sum64() | 1 // never zero
}

func (p *PartialResult) wire() *batchlog.Part {
	if p == nil {
		return nil
	}
	return &batchlog.Part{Events: int64(p.Events), Chunks: p.Chunks, Lastid: p.LastEventID, Versions: p.Versions}
}

func partFromWire(w *batchlog.Part) *PartialResult {
	if w == nil {
		return nil
	}
	return &PartialResult{Events: int(w.Events), Chunks: w.Chunks, LastEventID: w.Lastid, Versions: w.Versions}
}
