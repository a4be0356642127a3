package backendserver

import (
	"math"

	"github.com/zeebo/xxh3"
)

func (t *Table) choose(all []*state, r Requirement) *state {
	if len(all) == 0 {
		return nil
	}
	switch t.policy.Choice {
	case "robin":
		t.roundRobin++
		return nthByID(all, int(t.roundRobin%uint64(len(all))))
	case "least":
		return best(all, func(s *state) float64 { return float64(s.running) })
	}
	return t.chooseByWait(all, r)
}

// chooseByWait returns the server with the lowest expected wait among two random
// servers and the one that the prefix hashes to (Mitzenmacher, "The Power of Two
// Choices in Randomized Load Balancing", 2001).
func (t *Table) chooseByWait(all []*state, r Requirement) *state {
	a, b := all[t.rng.IntN(len(all))], all[t.rng.IntN(len(all))]
	choice := []*state{a, b}
	var preferred *state
	if r.Prefix != "" && t.policy.Affinity > 0 {
		preferred = rendezvousServer(all, r.Prefix)
		choice = append(choice, preferred)
	}
	return best(choice, func(s *state) float64 {
		score := s.expectedWait()
		if s == preferred {
			score -= t.policy.Affinity * max(s.latency, minLatency)
		}
		return score
	})
}

// minLatency is the latency in seconds of servers that have served no request yet.
const minLatency = 0.001

// expectedWait estimates the time in seconds that a new request would take. The
// server's report lags behind, so the requests that this host has in flight are a
// lower bound for the server's load.
func (s *state) expectedWait() float64 {
	inflight := float64(max(s.Running, s.running))
	return max(s.latency, minLatency) * (1 + inflight/float64(max(1, s.Limit)))
}

// rendezvousServer returns the server that a prefix hashes to (rendezvous hashing,
// Thaler and Ravishankar, 1998).
func rendezvousServer(all []*state, prefix string) *state {
	h := xxh3.HashString(prefix)
	return best(all, func(s *state) float64 {
		return -float64(xxh3.HashStringSeed(s.ID, h)) / math.MaxUint64
	})
}

// best returns the server with the lowest score; ties go to the lower ID.
func best(all []*state, score func(*state) float64) *state {
	var top *state
	least := math.Inf(1)
	for _, s := range all {
		if x := score(s); x < least || (x == least && s.ID < top.ID) {
			top, least = s, x
		}
	}
	return top
}

func nthByID(all []*state, n int) *state {
	for {
		s := best(all, func(*state) float64 { return 0 })
		if n == 0 {
			return s
		}
		n--
		rest := make([]*state, 0, len(all)-1)
		for _, x := range all {
			if x != s {
				rest = append(rest, x)
			}
		}
		all = rest
	}
}
