package caller

import (
	"context"
	"sync"

	"github.com/plantainbank/plantainbank/pkg/connection/response"
	"github.com/plantainbank/plantainbank/pkg/version/view"
)

// activeRequests registers the active requests, so that they can be canceled when
// their key is withdrawn.
type activeRequests struct {
	mu   sync.Mutex
	next uint64
	all  map[uint64]activeRequest
}

// activeRequest is one active request.
type activeRequest struct {
	principal view.Principal
	cancel    context.CancelCauseFunc
}

func newActiveRequests() *activeRequests { return &activeRequests{all: map[uint64]activeRequest{}} }

// add registers a request. Requests without a key are not registered.
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

// cancelUnless cancels the requests whose principal is no longer valid, and returns
// their number.
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
