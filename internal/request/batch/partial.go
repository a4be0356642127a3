package batch

import (
	"encoding/binary"
	"maps"
	"slices"
	"strings"

	"github.com/zeebo/xxh3"

	"github.com/plantainbank/plantainbank/pkg/process/deflate"
	"github.com/plantainbank/plantainbank/service/batchlog"
)

// PartialResult is what the runs of an item have produced so far, as far as the log has
// it. itemrun.Progress is its counterpart in the memory of the leader.
type PartialResult struct {
	// Events is the number of events.
	Events int `json:"events"`
	// Chunks holds the data of the events in compressed form.
	Chunks [][]byte `json:"chunks"`
	// LastEventID is the ID of the last event.
	LastEventID string   `json:"lastid"`
	Versions    []uint64 `json:"versions"`
	// Whole is true if the text is complete and only its score is missing. Chunks then has
	// one element.
	Whole bool `json:"whole,omitempty"`
	// Software is the software version of the engines that produced the events.
	Software string `json:"software,omitempty"`
}

// Checkpoint extends or replaces the partial result of an item.
type Checkpoint struct {
	Batch string `json:"batch"`
	Item  string `json:"item"`
	// Offset is the number of events in earlier chunks; zero replaces the partial result.
	Offset int `json:"from"`
	// Partial has the new chunk only, but the total number of events.
	Partial *PartialResult `json:"part"`
}

// Text returns the data of the events, joined by line feeds.
func (p *PartialResult) Text() (string, error) {
	var texts []string
	for _, chunk := range p.Chunks {
		text, err := decompress(chunk)
		if err != nil {
			return "", err
		}
		texts = append(texts, text)
	}
	return strings.Join(texts, "\n"), nil
}

// takeStored completes a result whose text is the item's complete partial result, and reports
// whether there is one.
func (x *Item) takeStored(r *Result) bool {
	if x.Partial == nil || !x.Partial.Whole {
		return false
	}
	r.Compressed, r.Versions, r.Stored = x.Partial.Chunks[0], x.Partial.Versions, false
	return true
}

// AllowsVersions reports whether versions are allowed in a result of the batch.
func (b *Batch) AllowsVersions(versions []uint64) bool {
	return len(versions) > 0 && slices.Min(versions) >= b.MinVersion
}

// saveCheckpoint applies a checkpoint to an open item. A chunk that does not continue the
// current partial result is dropped: the item was restarted after the chunk was sent.
func (s *Store) saveCheckpoint(x *Checkpoint) {
	b := s.all[x.Batch]
	if b == nil || b.Ended || x.Partial == nil || len(x.Partial.Chunks) != 1 {
		return
	}
	i, ok := b.index[x.Item]
	if !ok || b.hasResult[x.Item] {
		return
	}
	next := *x.Partial
	current := b.Items[i].Partial
	if current != nil && current.Whole && !next.Whole {
		return // it was sent before the text was complete
	}
	if x.Offset > 0 {
		if current == nil || current.Events != x.Offset {
			return
		}
		next.Chunks = append(slices.Clone(current.Chunks), x.Partial.Chunks[0])
	}
	b.Items[i].Partial = &next
}

// ReuseResults copies results and partial results of earlier batches of the same
// workspace, host and model into a batch that is being submitted, where its minimum
// version allows them. A trainer submits incomplete groups again under the same item IDs.
// Items match if their IDs and fingerprints, which include their paths, are equal.
func (s *Store) ReuseResults(b *Batch) {
	reused := map[string]bool{}
	for _, p := range s.all {
		if p.Workspace != b.Workspace || p.Host != b.Host || p.Model != b.Model || p.ID == b.ID {
			continue
		}
		for i := range b.Items {
			x := &b.Items[i]
			j, ok := p.index[x.ID]
			if !ok || reused[x.ID] || p.Items[j].Fingerprint != x.fingerprint() {
				continue
			}
			if r := p.result(x.ID); r != nil && r.State == Completed && b.AllowsVersions(r.Versions) {
				if p.Items[j].ScorerFingerprint == x.scorerFingerprint() {
					b.Results = append(b.Results, *r)
					reused[x.ID] = true
				} else if partial := r.wholePartial(); partial != nil {
					x.Partial = partial // the same text, to be scored by another request
				}
				continue
			}
			if partial := p.Items[j].Partial; partial != nil && b.AllowsVersions(partial.Versions) && (x.Partial == nil || partial.isFurther(x.Partial)) {
				x.Partial = partial
			}
		}
	}
}

// isFurther reports whether p has more of the text of an item than old.
func (p *PartialResult) isFurther(old *PartialResult) bool {
	return !old.Whole && (p.Whole || p.Events > old.Events)
}

// wholePartial returns the text of a result as a complete partial result, or nil if the text
// cannot be compressed.
func (r *Result) wholePartial() *PartialResult {
	packed := r.Compressed
	if packed == nil {
		var err error
		if packed, err = deflate.Compress(r.Text); err != nil {
			return nil
		}
	}
	return &PartialResult{Chunks: [][]byte{packed}, Versions: r.Versions, Whole: true}
}

// result returns the result of an item, or nil if it has none.
func (b *Batch) result(item string) *Result {
	if !b.hasResult[item] {
		return nil
	}
	i := slices.IndexFunc(b.Results, func(r Result) bool { return r.Item == item })
	return &b.Results[i]
}

// fingerprint returns a hash of the path, body and headers of an item.
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

// scorerFingerprint returns a hash of the scorer, zero if the item has none.
func (x *Item) scorerFingerprint() uint64 {
	if x.ScorerFingerprint != 0 || x.Scorer == nil {
		return x.ScorerFingerprint
	}
	h := xxh3.New()
	for _, text := range []string{x.Scorer.ID, x.Scorer.Host, x.Scorer.Path, string(x.Scorer.Body)} {
		h.Write(binary.LittleEndian.AppendUint64(nil, uint64(len(text))))
		h.WriteString(text)
	}
	return h.Sum64() | 1 // never zero
}

func (p *PartialResult) toProto() *batchlog.Part {
	if p == nil {
		return nil
	}
	return &batchlog.Part{Events: int64(p.Events), Chunks: p.Chunks, Lastid: p.LastEventID, Versions: p.Versions, Whole: p.Whole,
		Software: p.Software}
}

func partialFromProto(w *batchlog.Part) *PartialResult {
	if w == nil {
		return nil
	}
	return &PartialResult{Events: int(w.Events), Chunks: w.Chunks, LastEventID: w.Lastid, Versions: w.Versions, Whole: w.Whole,
		Software: w.Software}
}
