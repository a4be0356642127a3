package control

import (
	"context"
	"encoding/json"
	"maps"
	"slices"
	"time"

	pb "github.com/plantainbank/plantainbank/service/control"
)

// swap is an order to load weights that is under way on a backend server.
type swap struct {
	rollout string
	version uint64
	until   time.Time
}

// loadOrder is the body of an order to load weights.
type loadOrder struct {
	Kind    string `json:"kind"`
	Rollout string `json:"rollout"`
	Version uint64 `json:"version"`
}

// weightOrder is an order to one backend server.
type weightOrder struct {
	id, url string
	load    loadOrder
}

// orderWeights sends the newest weight versions out in waves, so that only a
// part of each pool swaps at once.
func (s *Server) orderWeights(ctx context.Context) {
	var orders []weightOrder
	if s.onLeader(ctx, func() error { orders = s.nextWave(time.Now()); return nil }) != nil {
		return
	}
	done := make(chan struct{})
	for _, o := range orders {
		go func() {
			defer func() { done <- struct{}{} }()
			s.sendLoad(ctx, o)
		}()
	}
	for range orders {
		<-done
	}
}

func (s *Server) sendLoad(ctx context.Context, o weightOrder) {
	body, err := json.Marshal(o.load)
	if err != nil {
		return
	}
	if _, err := s.post(ctx, o.url, o.load.Version, body); err == nil {
		s.scope.Counter("swaps_ordered").Inc(1)
		return
	}
	s.scope.Counter("swaps_failed").Inc(1)
	_ = s.do(ctx, func() {
		if s.leadership == nil {
			return
		}
		if b := s.leadership.backends[o.id]; b != nil {
			b.swap = swap{until: time.Now().Add(swapRetry)}
		}
	})
}

// swapRetry is the pause after an order to load weights that failed.
const swapRetry = 500 * time.Millisecond

// nextWave picks the servers to swap next.
func (s *Server) nextWave(now time.Time) []weightOrder {
	var out []weightOrder
	rollouts := s.decoded().rollouts
	for _, name := range slices.Sorted(maps.Keys(rollouts)) {
		if version := s.ledger.Versions[name]; version > 0 {
			out = append(out, s.waveOf(name, rollouts[name].Pool, version, now)...)
		}
	}
	return out
}

func (s *Server) waveOf(rollout, pool string, version uint64, now time.Time) []weightOrder {
	var behind []*backend
	size, swapping := 0, 0
	for _, b := range s.leadership.backends {
		a := b.announced
		if a.Pool != pool || a.Kind != "engine" || a.Leaving {
			continue
		}
		size++
		switch {
		case b.swap.version > 0 && a.Versions[b.swap.rollout] >= b.swap.version:
			b.swap = swap{}
		case now.Before(b.swap.until):
			swapping++
			continue
		}
		if a.Versions[rollout] < version {
			behind = append(behind, b)
		}
	}
	slices.SortFunc(behind, func(a, b *backend) int { return compareAnnounced(a.announced, b.announced) })
	room := max(1, int(s.cfg.MaxSwapFraction*float64(size))) - swapping
	var out []weightOrder
	for _, b := range behind[:max(0, min(room, len(behind)))] {
		b.swap = swap{rollout: rollout, version: version, until: now.Add(time.Duration(s.cfg.SwapTimeout))}
		out = append(out, weightOrder{b.announced.Id, "http://" + b.announced.Addr + "/orders",
			loadOrder{"load", rollout, version}})
	}
	return out
}

// compareAnnounced orders by the least loaded first.
func compareAnnounced(a, b *pb.Announcement) int {
	if a.Running != b.Running {
		return int(a.Running) - int(b.Running)
	}
	if a.Id < b.Id {
		return -1
	}
	return 1
}
