package placement

import "time"

// loadingCooldown follows a refusal while the weights of a model load, which takes 0.9 s. It
// applies to the requests of that model; one of them at a time is sent after it, until the server
// starts one or announces a newer version.
const loadingCooldown = 250 * time.Millisecond

// loadingModel is a model whose weights a server loads.
type loadingModel struct {
	// until is the earliest time of the next request, probing is true while it is in flight.
	until   time.Time
	probing bool
}

// startLoading records a refusal of a model's request while its weights load.
func (s *server) startLoading(model string, now time.Time) {
	if s.loading == nil {
		s.loading = map[string]*loadingModel{}
	}
	s.loading[model] = &loadingModel{until: now.Add(loadingCooldown)}
}

// refusesModel reports whether the server is believed to refuse a request of a model now.
func (s *server) refusesModel(model string, now time.Time) bool {
	l := s.loading[model]
	return l != nil && (l.probing || now.Before(l.until))
}

// Started records that a server has started a request: it does not load the request's model.
func (t *Table) Started(x Slot) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.servers[x.ID]; s != nil && s.Born == x.Born {
		delete(s.loading, x.Model)
	}
}
