package ratelimit

import (
	"math"
	"time"

	"github.com/plantainbank/plantainbank/service/fleet"
)

const (
	// burstTime is the time whose permits a server that was not used may get at once; minBurst is
	// the smallest number of them.
	burstTime = 250 * time.Millisecond
	minBurst  = 2.0
	// grantTime bounds the permits of one call, so that hosts share those of a higher rate.
	grantTime = 100 * time.Millisecond
	maxGrant  = 1 << 10
	// material is the relative change of a rate that all hosts are told at once.
	material = 0.2
	// tellInterval is the minimum time between two changes of a server's limit that all hosts are
	// told: a server may change it with each response.
	tellInterval = 250 * time.Millisecond
	// ledgerRetention is how long a limit that has ended, or whose server is gone, is kept.
	ledgerRetention = time.Minute
	// summaryInterval is how often it is reported which hosts got the permits of a server.
	summaryInterval = 4 * time.Second
)

// Ledger divides the rates that servers allow among the hosts, by permits. The control leader has
// one. It starts without credit: the previous leader may just have granted all there was. It is
// not safe for concurrent use.
type Ledger struct {
	// Revision increases with every change that hosts must be told at once.
	Revision uint64
	all      map[Key]*bucket
}

// bucket holds the permits of one server that have not been granted.
type bucket struct {
	Observation
	// told is the limit that all hosts were told at the latest revision, toldAt is when.
	told       Limit
	toldAt     time.Time
	credit     float64
	refilledAt time.Time
	// urgent is the priority of the most urgent request that was denied a permit; until
	// urgentUntil less urgent ones get none.
	urgent      int32
	urgentUntil time.Time
	denied      counter
	summary     Summary
}

// Summary is how the permits of a server were divided since the previous summary.
type Summary struct {
	Key
	Limit Limit
	// Granted holds the number of permits of each host, Denied the requests without one.
	Granted map[string]int
	Denied  int
	since   time.Time
}

// counter counts events of about the last second.
type counter struct {
	from          time.Time
	current, last int
}

func (c *counter) add(n int, now time.Time) int {
	switch d := now.Sub(c.from); {
	case d >= 2*time.Second:
		c.from, c.current, c.last = now, 0, 0
	case d >= time.Second:
		c.from, c.current, c.last = now, 0, c.current
	}
	c.current += n
	return max(c.current, c.last)
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger { return &Ledger{all: map[Key]*bucket{}} }

// Observe adds the observations of a host and returns those that all hosts are told.
func (l *Ledger) Observe(limits []*fleet.Limit, now time.Time) (out []Change) {
	for _, x := range limits {
		k, o, ok := decodeLimit(x, now)
		x := l.all[k]
		if !ok || x == nil && (!o.Named || len(l.all) >= maxLimits) {
			continue
		}
		if x == nil {
			x = &bucket{refilledAt: now, summary: Summary{Granted: map[string]int{}, since: now}}
			l.all[k] = x
		}
		if !o.supersedes(x.Observation) {
			continue
		}
		x.refill(now)
		x.Observation = o
		if x.mustTell(now) {
			out = append(out, Change{k, x.told, o.Limit})
			x.told, x.toldAt = o.Limit, now
			l.Revision++
		}
	}
	return out
}

// mustTell reports whether all hosts must be told of the limit. A host with an outdated one learns
// of the difference when it asks for a permit.
func (x *bucket) mustTell(now time.Time) bool {
	changed := x.told.Named != x.Named || math.Abs(x.Rate-x.told.Rate) > material*x.told.Rate
	return changed && now.Sub(x.toldAt) >= tellInterval
}

// refill adds the permits of the time since the last refill.
func (x *bucket) refill(now time.Time) {
	rate := max(minRate, x.Rate)
	x.credit = min(x.credit+rate*now.Sub(x.refilledAt).Seconds(), max(minBurst, rate*burstTime.Seconds()))
	x.refilledAt = now
}

// Acquire answers a call of a host, after its observations have been added.
func (l *Ledger) Acquire(q *fleet.Wanted, now time.Time) *fleet.Permits {
	p := &fleet.Permits{}
	for _, x := range q.Limits {
		k := Key{x.Instance, x.Born}
		if b := l.all[k]; b != nil {
			p.Limits = append(p.Limits, encodeLimit(k, b.Observation, now))
		}
	}
	for _, w := range q.Wants {
		if b := l.all[Key{w.Instance, w.Born}]; b != nil && b.Named {
			p.Grants = append(p.Grants, b.grant(q.Host, w, now))
		}
	}
	return p
}

// grant answers one want. Requests that are less urgent than one that was denied wait until that
// one had the time to ask again.
func (x *bucket) grant(host string, w *fleet.Want, now time.Time) *fleet.Grant {
	x.refill(now)
	rate := max(minRate, x.Rate)
	g := &fleet.Grant{Instance: w.Instance, Born: w.Born}
	held := w.Priority > x.urgent && now.Before(x.urgentUntil)
	if n := min(float64(w.Count), math.Floor(x.credit), max(1, rate*grantTime.Seconds()), maxGrant); n >= 1 && !held {
		g.Count = uint32(n)
		x.credit -= float64(g.Count)
		if w.Priority <= x.urgent {
			x.urgentUntil = time.Time{}
		}
		x.summary.Granted[host] += int(g.Count)
		g.Backlog = uint32(x.denied.add(0, now))
		return g
	}
	wait := time.Duration(max(0, 1-x.credit) / rate * float64(time.Second))
	if held {
		wait = max(wait, x.urgentUntil.Sub(now))
	} else {
		x.urgent, x.urgentUntil = w.Priority, now.Add(wait+urgentHold)
	}
	g.Retryms = uint32(wait.Milliseconds()) + 1
	g.Backlog = uint32(x.denied.add(int(w.Count), now))
	x.summary.Denied += int(w.Count)
	return g
}

// Limits returns the limits of all servers, and those that have ended lately.
func (l *Ledger) Limits(now time.Time) []*fleet.Limit {
	var out []*fleet.Limit
	for k, x := range l.all {
		out = append(out, encodeLimit(k, x.Observation, now))
	}
	return out
}

// Expire drops limits that have ended and those of servers that are gone.
func (l *Ledger) Expire(alive func(Key) bool, now time.Time) {
	for k, x := range l.all {
		if now.Sub(x.At) > ledgerRetention && (!x.Named || !alive(k)) {
			delete(l.all, k)
		}
	}
}

// Summaries returns the summaries that are due.
func (l *Ledger) Summaries(now time.Time) (out []Summary) {
	for k, x := range l.all {
		s := x.summary
		if now.Sub(s.since) < summaryInterval || len(s.Granted)+s.Denied == 0 {
			continue
		}
		s.Key, s.Limit = k, x.Limit
		out = append(out, s)
		x.summary = Summary{Granted: map[string]int{}, since: now}
	}
	return out
}
