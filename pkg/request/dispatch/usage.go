package dispatch

import (
	"sync"

	pb "github.com/plantainbank/plantainbank/service/control"
)

// Usage counts the served requests and tokens of each workspace. Counters never
// decrease during the life of a process.
type Usage struct {
	mu       sync.Mutex
	counters map[string]*pb.Usage
}

// NewUsage returns counters at zero.
func NewUsage() *Usage { return &Usage{counters: map[string]*pb.Usage{}} }

// Add counts one served request and its tokens. Requests on public routes belong
// to no workspace and are not counted.
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

// Counters returns a copy of the counters.
func (u *Usage) Counters() []*pb.Usage {
	u.mu.Lock()
	defer u.mu.Unlock()
	out := make([]*pb.Usage, 0, len(u.counters))
	for _, c := range u.counters {
		out = append(out, &pb.Usage{Workspace: c.Workspace, Requests: c.Requests, Tokens: c.Tokens})
	}
	return out
}
