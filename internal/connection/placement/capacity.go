package placement

import (
	"time"
)

// Engine is what a server in service offers to the items of batches.
type Engine struct {
	ID, Service string
	Slots       int
	// Weights must not be changed.
	Weights map[string]uint64
	// From is the end of a cooldown.
	From time.Time
	// Loading is until when the server is believed to refuse a model's requests, nil if there is none.
	Loading map[string]time.Time
}

// Engines returns the servers with slots that can get requests now or after a cooldown.
func (t *Table) Engines() []Engine {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make([]Engine, 0, len(t.servers))
	for _, s := range t.servers {
		if s.Slots <= 0 || !t.inService(s) {
			continue
		}
		e := Engine{ID: s.ID, Service: s.Service, Slots: s.Slots, Weights: s.Weights, From: s.cooldownUntil}
		for model, l := range s.loading {
			if e.Loading == nil {
				e.Loading = map[string]time.Time{}
			}
			e.Loading[model] = l.until
		}
		out = append(out, e)
	}
	return out
}
