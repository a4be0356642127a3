package control

import (
	"context"
	"encoding/json"
	"maps"
	"slices"
	"time"

	pb "github.com/plantainbank/plantainbank/service/control"
)

// weightSwap is an order to load weights that is in progress on a backend server.
type weightSwap struct {
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

// weightOrder is an order to load weights and the backend server that it is sent to.
type weightOrder struct {
	id, url string
	load    loadOrder
}

// orderWeights orders backend servers to load the newest weight versions, in waves, so that
// only a part of each pool swaps weights at once.
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
	if _, err := s.postOrder(ctx, o.url, o.load.Version, body); err == nil {
		s.scope.Counter("swaps_ordered").Inc(1)
		return
	}
	s.scope.Counter("swaps_failed").Inc(1)
	_ = s.do(ctx, func() {
		if s.leadership == nil {
			return
		}
		if b := s.leadership.backends[o.id]; b != nil {
			b.swap = weightSwap{until: time.Now().Add(swapRetryDelay)}
		}
	})
}

// swapRetryDelay is the delay after a failed order to load weights.
const swapRetryDelay = 500 * time.Millisecond

// nextWave selects the servers that load weights next.
func (s *Server) nextWave(now time.Time) []weightOrder {
	var out []weightOrder
	rollouts := s.decodedRecords().rollouts
	for _, name := range slices.Sorted(maps.Keys(rollouts)) {
		if version := s.ledger.Versions[name]; version > 0 {
			out = append(out, s.poolWave(name, rollouts[name].Pool, version, now)...)
		}
	}
	return out
}

func (s *Server) poolWave(rollout, pool string, version uint64, now time.Time) []weightOrder {
	var outdated []*backend
	size, swapping := 0, 0
	for _, b := range s.leadership.backends {
		a := b.announced
		if a.Pool != pool || a.Kind != "engine" || a.Leaving {
			continue
		}
		size++
		switch {
		case b.swap.version > 0 && a.Versions[b.swap.rollout] >= b.swap.version:
			b.swap = weightSwap{}
		case now.Before(b.swap.until):
			swapping++
			continue
		}
		if a.Versions[rollout] < version {
			outdated = append(outdated, b)
		}
	}
	slices.SortFunc(outdated, func(a, b *backend) int { return compareLoad(a.announced, b.announced) })
	available := max(1, int(s.cfg.MaxSwapFraction*float64(size))) - swapping
	var out []weightOrder
	for _, b := range outdated[:max(0, min(available, len(outdated)))] {
		b.swap = weightSwap{rollout: rollout, version: version, until: now.Add(time.Duration(s.cfg.SwapTimeout))}
		out = append(out, weightOrder{b.announced.Id, "http://" + b.announced.Addr + "/orders",
			loadOrder{"load", rollout, version}})
	}
	return out
}

// compareLoad orders announcements by the number of running requests, the lowest first.
func compareLoad(a, b *pb.Announcement) int {
	if a.Running != b.Running {
		return int(a.Running) - int(b.Running)
	}
	if a.Id < b.Id {
		return -1
	}
	return 1
}
