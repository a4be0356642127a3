package ratelimit

import (
	"sync"
	"time"
)

const (
	// permitTTL is how long a host may use a permit.
	permitTTL = 500 * time.Millisecond
	// urgentHold is how long after it was last seen a waiting request keeps its server's permits
	// from less urgent ones. Waiting requests look for a permit every 10 ms.
	urgentHold = 30 * time.Millisecond
	// endedRetention is how long the end of a limit is reported to control.
	endedRetention = 10 * time.Second
	// staleAfter is the age of an observation after which the server is sent a request again as
	// soon as its limit allows it.
	staleAfter = time.Second
	// minRate is the rate in requests per second at which servers are tried that take fewer, or
	// none: only a response tells that the limit has changed.
	minRate = 0.1
)

// Book is a host's record of the servers that name a limit, and of its permits to send them
// requests. It is safe for concurrent use.
type Book struct {
	mu   sync.Mutex
	all  map[Key]*entry
	turn turn
	// lostAt is the time of the first call to control that failed since the last answer; zero if
	// the latest call was answered.
	lostAt time.Time
	// pending receives a value when there is something to tell control or to ask it for.
	pending chan struct{}
}

// entry is the state of one server that has named a limit.
type entry struct {
	Observation
	// permits holds the expiry times of the unused permits, in ascending order.
	permits []time.Time
	// wanted is the number of requests for which control has not been asked yet.
	wanted int
	// urgent is the priority of the most urgent request that waited at urgentAt.
	urgent   int
	urgentAt time.Time
	// answeredAt is when control last answered about the server; deniedUntil is when it may have
	// the next permit.
	answeredAt, deniedUntil time.Time
	// backlog is the number of requests that control denied a permit in the second before its
	// latest answer.
	backlog int
	// lastTurn is the number of the last turn that was used without a permit.
	lastTurn int64
}

// NewBook returns an empty book.
func NewBook() *Book { return &Book{all: map[Key]*entry{}, pending: make(chan struct{}, 1)} }

// Pending returns the channel that receives a value when control should be called.
func (b *Book) Pending() <-chan struct{} { return b.pending }

func (b *Book) signal() {
	select {
	case b.pending <- struct{}{}:
	default:
	}
}

// Observe records what a response said about the limit of its server. sent is when the request
// was sent. It returns the limit before, and whether the limit has changed.
func (b *Book) Observe(k Key, l Limit, sent, now time.Time) (before Limit, changed bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	o := Observation{Limit: l, At: now}
	if !l.Named {
		o.At = sent
	}
	before, changed = b.observe(k, o)
	if changed {
		b.signal()
	}
	return before, changed
}

func (b *Book) observe(k Key, o Observation) (before Limit, changed bool) {
	e := b.all[k]
	if e == nil {
		if !o.Named {
			return Limit{}, false
		}
		e = &entry{lastTurn: -1}
		b.all[k] = e
	}
	if !o.supersedes(e.Observation) {
		return e.Limit, false
	}
	before = e.Limit
	e.Observation = o
	if !o.Named {
		e.permits, e.wanted = nil, 0
	}
	return before, before != o.Limit
}

// Retain drops the servers for which keep returns false.
func (b *Book) Retain(keep func(Key) bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for k := range b.all {
		if !keep(k) {
			delete(b.all, k)
		}
	}
}

// limited returns the entry of a server that names a limit, otherwise nil.
func (b *Book) limited(k Key) *entry {
	if e := b.all[k]; e != nil && e.Named {
		return e
	}
	return nil
}

// Allows reports whether a request of the given priority may be sent to a server now.
func (b *Book) Allows(k Key, priority int, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	e := b.limited(k)
	switch {
	case e == nil:
		return true
	case e.urgent < priority && now.Sub(e.urgentAt) < urgentHold:
		return false
	}
	e.expirePermits(now)
	if len(e.permits) > 0 {
		return true
	}
	n, mine := b.turn.at(e.Rate, now)
	return b.isolated(now) && mine && n != e.lastTurn
}

// Spend records that a request is sent to a server that allows it.
func (b *Book) Spend(k Key, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	e := b.limited(k)
	if e == nil {
		return
	}
	e.expirePermits(now)
	if len(e.permits) > 0 {
		e.permits = e.permits[1:]
		return
	}
	e.lastTurn, _ = b.turn.at(e.Rate, now)
}

func (e *entry) expirePermits(now time.Time) {
	for len(e.permits) > 0 && !now.Before(e.permits[0]) {
		e.permits = e.permits[1:]
	}
}

// isolated reports whether control has not answered for so long that no permit of any host is
// valid. Hosts then take turns.
func (b *Book) isolated(now time.Time) bool {
	return !b.lostAt.IsZero() && now.Sub(b.lostAt) >= permitTTL
}

// Want records that a request waits for a permit. asked is when it was last counted, zero if never;
// the request is not counted again before control has answered. Want returns the new value of asked.
func (b *Book) Want(k Key, priority int, asked, now time.Time) time.Time {
	b.mu.Lock()
	defer b.mu.Unlock()
	e := b.limited(k)
	if e == nil {
		return asked
	}
	if priority <= e.urgent || now.Sub(e.urgentAt) >= urgentHold {
		e.urgent, e.urgentAt = priority, now
	}
	if now.Before(e.deniedUntil) || !asked.IsZero() && !e.answeredAt.After(asked) {
		return asked
	}
	e.wanted++
	b.signal()
	return now
}

// Delay is how long a server's limit delays requests.
type Delay struct {
	// Limited is false if the server names no limit.
	Limited bool
	// Wait is the time until there may be a permit, zero if that is not known.
	Wait time.Duration
	// Stale is true if the limit was not observed lately, so that it may have ended.
	Stale bool
	// Rate is the limit in requests per second. Backlog is the number of requests of all hosts
	// that were denied a permit in one second.
	Rate    float64
	Backlog int
}

// Delay returns how long the limit of a server delays the requests of this host.
func (b *Book) Delay(k Key, now time.Time) Delay {
	b.mu.Lock()
	defer b.mu.Unlock()
	e := b.limited(k)
	if e == nil {
		return Delay{}
	}
	d := Delay{Limited: true, Stale: now.Sub(e.At) > staleAfter, Wait: max(0, e.deniedUntil.Sub(now)), Rate: max(minRate, e.Rate), Backlog: e.backlog}
	if b.isolated(now) {
		d.Wait = b.turn.next(e.Rate, e.lastTurn, now)
	}
	return d
}
