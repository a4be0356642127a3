package placement

import (
	"slices"
	"time"

	"github.com/plantainbank/plantainbank/internal/connection/ratelimit"
)

const (
	// limitedCost is the cost by which a server with a rate limit must be below all others before a
	// permit for it is asked for: a permit that is not used is lost to the other hosts.
	limitedCost = 1.0
	// maxLimitDelay is the longest time after which a request that was refused because of rate
	// limits should be sent again.
	maxLimitDelay = 5 * time.Second
	// maxNamedServers bounds the servers in a LimitDelay.
	maxNamedServers = 8
)

func (s *server) key() ratelimit.Key { return ratelimit.Key{ID: s.ID, Born: s.Born} }

// askPermit records that a request needs a permit of a server. A request with Asked is counted once
// until control has answered.
func (t *Table) askPermit(s *server, req Requirement, now time.Time) {
	asked := t.Limits.Want(s.key(), req.Priority, req.Asked[s.ID], now)
	if req.Asked != nil {
		req.Asked[s.ID] = asked
	}
}

// LimitDelay describes how the rate limits of a service delay a request.
type LimitDelay struct {
	// Limited is true if rate limits alone keep the request from all servers that could take it.
	Limited bool
	// Wait is the time until one of them may allow it, zero if that is not known yet.
	Wait time.Duration
	// RetryAfter is the time after which a request that was refused should be sent again.
	RetryAfter time.Duration
	// Servers are the IDs of some of the servers, in order.
	Servers []string
}

// LimitDelay returns how rate limits delay a request for which Take found no server.
func (t *Table) LimitDelay(req Requirement, now time.Time) LimitDelay {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out LimitDelay
	rate, backlog := 0.0, 0
	req.IgnoreCooldown, req.Avoid = true, nil // such a server may take the request soon
	for _, s := range t.servers {
		if !t.usable(s, req, now) {
			continue
		}
		d := t.Limits.Delay(s.key(), now)
		if !d.Limited {
			return LimitDelay{}
		}
		if !out.Limited || d.Wait < out.Wait {
			out.Wait = d.Wait
		}
		out.Limited = true
		out.Servers = append(out.Servers, s.ID)
		rate += d.Rate
		backlog = max(backlog, d.Backlog)
	}
	if out.Limited {
		slices.Sort(out.Servers)
		out.Servers = out.Servers[:min(len(out.Servers), maxNamedServers)]
		drain := time.Duration(float64(backlog+1) / rate * float64(time.Second))
		out.RetryAfter = min(max(out.Wait, drain), maxLimitDelay)
	}
	return out
}
