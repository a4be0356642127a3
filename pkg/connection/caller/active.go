package caller

import (
	"context"
	"sync"

	"github.com/plantainbank/plantainbank/pkg/connection/response"
	"github.com/plantainbank/plantainbank/pkg/version/view"
)

// sessions are the running requests, so that a withdrawal can end them.
type activeRequests struct {
	mu   sync.Mutex
	next uint64
	all  map[uint64]activeRequest
}

// session is one running request.
type activeRequest struct {
	principal view.Principal
	cancel    context.CancelCauseFunc
}

func newActiveRequests() *activeRequests { return &activeRequests{all: map[uint64]activeRequest{}} }

// add registers a request. Requests without a key are never ended.
func (s *activeRequests) add(principal view.Principal, cancel context.CancelCauseFunc) (remove func()) {
	if principal.Key == "" {
		return func() {}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.next++
	id := s.next
	s.all[id] = activeRequest{principal, cancel}
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.all, id)
	}
}

// endUnless ends the requests whose holder no longer stands.
func (s *activeRequests) cancelUnless(valid func(view.Principal) bool) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for id, x := range s.all {
		if !valid(x.principal) {
			x.cancel(response.ErrKeyWithdrawn)
			delete(s.all, id)
			n++
		}
	}
	return n
}
