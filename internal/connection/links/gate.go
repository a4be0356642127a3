package links

import "sync"

// maxRelayed bounds the requests of other hosts that a host runs at the same time, so that its own
// callers are served as well.
const maxRelayed = 512

// Gate admits requests of other hosts. While more than half of the places are taken, workspaces have
// equal shares. It is safe for concurrent use.
type Gate struct {
	mu      sync.Mutex
	running map[string]int
	total   int
}

// NewGate returns a gate.
func NewGate() *Gate { return &Gate{running: map[string]int{}} }

// Enter admits a request of a workspace; Leave must follow.
func (g *Gate) Enter(workspace string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	n := g.running[workspace]
	active := len(g.running)
	if n == 0 {
		active++
	}
	if g.total >= maxRelayed || g.total >= maxRelayed/2 && n >= maxRelayed/active {
		return false
	}
	g.running[workspace]++
	g.total++
	return true
}

// Leave gives the place of a request back.
func (g *Gate) Leave(workspace string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.total--
	if g.running[workspace]--; g.running[workspace] == 0 {
		delete(g.running, workspace)
	}
}
