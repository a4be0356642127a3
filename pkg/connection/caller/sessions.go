package caller

import (
	"context"
	"sync"

	"github.com/plantainbank/plantainbank/pkg/connection/response"
	"github.com/plantainbank/plantainbank/pkg/version/view"
)

// sessions are the running requests, so that a withdrawal can end them.
type sessions struct {
	mu   sync.Mutex
	next uint64
	all  map[uint64]session
}

// session is one running request.
type session struct {
	holder view.Principal
	cancel context.CancelCauseFunc
}

func newSessions() *sessions { return &sessions{all: map[uint64]session{}} }

// add registers a request. Requests without a key are never ended.
func (s *sessions) add(holder view.Principal, cancel context.CancelCauseFunc) (forget func()) {
	if holder.Key == "" {
		return func() {}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.next++
	id := s.next
	s.all[id] = session{holder, cancel}
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.all, id)
	}
}

// endUnless ends the requests whose holder no longer stands.
func (s *sessions) endUnless(stands func(view.Principal) bool) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for id, x := range s.all {
		if !stands(x.holder) {
			x.cancel(response.ErrKeyWithdrawn)
			delete(s.all, id)
			n++
		}
	}
	return n
}
