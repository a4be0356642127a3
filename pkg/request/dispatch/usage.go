package dispatch

import (
	"sync"

	pb "github.com/plantainbank/plantainbank/service/control"
)

// Usage counts what each workspace was served. Counters never decrease during
// the life of a process.
type Usage struct {
	mu       sync.Mutex
	counters map[string]*pb.Usage
}

// NewUsage returns counters at zero.
func NewUsage() *Usage { return &Usage{counters: map[string]*pb.Usage{}} }

// Add counts one served request and its tokens. Work on open routes belongs to
// no workspace and is not counted.
func (u *Usage) Add(workspace string, tokens int) {
	if workspace == "" {
		return
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	c := u.counters[workspace]
	if c == nil {
		c = &pb.Usage{Workspace: workspace}
		u.counters[workspace] = c
	}
	c.Requests++
	c.Tokens += uint64(tokens)
}

// Wire returns a copy of the counters.
func (u *Usage) Counters() []*pb.Usage {
	u.mu.Lock()
	defer u.mu.Unlock()
	out := make([]*pb.Usage, 0, len(u.counters))
	for _, c := range u.counters {
		out = append(out, &pb.Usage{Workspace: c.Workspace, Requests: c.Requests, Tokens: c.Tokens})
	}
	return out
}
