package ratelimit

import (
	"math"
	"time"

	"github.com/plantainbank/plantainbank/service/fleet"
)

// maxLimits bounds the limits of a message.
const maxLimits = 512

// Change is a change of a limit that another host has observed.
type Change struct {
	Key
	Before, After Limit
}

// encodeLimit encodes an observation with its age.
func encodeLimit(k Key, o Observation, now time.Time) *fleet.Limit {
	age := min(max(0, now.Sub(o.At).Milliseconds()), math.MaxUint32)
	return &fleet.Limit{Instance: k.ID, Born: k.Born, Named: o.Named, Rate: o.Rate, Age: uint32(age)}
}

// decodeLimit returns false for a limit that is not valid.
func decodeLimit(x *fleet.Limit, now time.Time) (Key, Observation, bool) {
	valid := x.Rate >= 0 && x.Rate <= maxRate // false for NaN
	return Key{x.Instance, x.Born}, Observation{Limit{x.Named, x.Rate}, now.Add(-time.Duration(x.Age) * time.Millisecond)}, valid
}

// Call returns what control should be told and asked for. The requests in it count as asked for.
func (b *Book) Call(host string, now time.Time) *fleet.Wanted {
	b.mu.Lock()
	defer b.mu.Unlock()
	q := &fleet.Wanted{Host: host}
	for k, e := range b.all {
		if (e.Named || now.Sub(e.At) < endedRetention) && len(q.Limits) < maxLimits {
			q.Limits = append(q.Limits, encodeLimit(k, e.Observation, now))
		}
		if e.wanted > 0 && e.Named {
			q.Wants = append(q.Wants, &fleet.Want{Instance: k.ID, Born: k.Born, Count: uint32(e.wanted), Priority: int32(e.urgent)})
		}
		e.wanted = 0
	}
	return q
}

// Answered applies control's answer to a call, and returns the limits that have changed.
func (b *Book) Answered(p *fleet.Permits, now time.Time) []Change {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.lostAt = time.Time{}
	out := b.merge(p.Limits, now)
	for _, g := range p.Grants {
		e := b.limited(Key{g.Instance, g.Born})
		if e == nil {
			continue
		}
		e.answeredAt, e.deniedUntil, e.backlog = now, now.Add(time.Duration(g.Retryms)*time.Millisecond), int(g.Backlog)
		for range min(g.Count, maxGrant) {
			e.permits = append(e.permits, now.Add(permitTTL))
		}
	}
	return out
}

// Failed records that a call got no answer.
func (b *Book) Failed(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.lostAt.IsZero() {
		b.lostAt = now
	}
	for _, e := range b.all {
		e.answeredAt = now
	}
}

// SetTurn sets the position of this host among those that send requests.
func (b *Book) SetTurn(rank, hosts int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.turn = turn{rank, hosts}
}

// Merge adds the observations of other hosts, and returns the limits that have changed.
func (b *Book) Merge(limits []*fleet.Limit, now time.Time) []Change {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.merge(limits, now)
}

func (b *Book) merge(limits []*fleet.Limit, now time.Time) (out []Change) {
	for _, x := range limits {
		k, o, ok := decodeLimit(x, now)
		if e := b.all[k]; !ok || e != nil && e.Limit == o.Limit {
			continue // the age of an observation grows with each exchange
		}
		if before, changed := b.observe(k, o); changed {
			out = append(out, Change{k, before, o.Limit})
		}
	}
	return out
}
