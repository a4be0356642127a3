// Package links decides whether this host has lost its links to all backend servers, as in a network
// partition, in contrast to servers or services that are down.
//
// Attempts of requests are evidence. If servers fail one after another and none responds, connections
// to servers of different services and availability zones are opened: the links are lost if none of
// them opens. A host without requests keeps one connection open, whose end is a reason to look. Load:
// some thousand attempts a second.
package links

import (
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// quietPeriod is the time without a response of any server after which other evidence is needed.
	quietPeriod = time.Second
	// suspectServers is the number of servers that must fail one after another, without a
	// response of any, before others are probed.
	suspectServers = 2
	// sampleSize is the number of servers that are probed at first, confirmSize the number for a
	// verdict: a few servers that still run must be among them.
	sampleSize  = 6
	confirmSize = 16
	// retrySize is the number of servers that are probed while the links are lost.
	retrySize = 3
)

// Server is a backend server that can be probed.
type Server struct {
	ID, Addr, Service, Zone string
}

// Tracker holds the evidence. It is safe for concurrent use.
type Tracker struct {
	mu sync.Mutex
	// respondedAt is when a server last responded.
	respondedAt time.Time
	// failed holds the addresses of the servers that have failed since then, firstFailure is when the first did.
	failed       map[string]bool
	firstFailure time.Time
	lost         bool
	lostSince    time.Time
}

// NewTracker returns a tracker of a host that has just started.
func NewTracker(now time.Time) *Tracker { return &Tracker{respondedAt: now, failed: map[string]bool{}} }

// Responded records that a server has responded. While the links are lost that shows nothing: older
// connections may live on.
func (t *Tracker) Responded(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.lost {
		return
	}
	t.respondedAt, t.firstFailure = now, time.Time{}
	clear(t.failed)
}

// Failed records that the server at an address could not be reached, or has ended the connection
// without a response. It reports whether other servers should be probed.
func (t *Tracker) Failed(addr string, now time.Time) (suspicious bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.failed) == 0 {
		t.firstFailure = now
	}
	if len(t.failed) < sampleSize {
		t.failed[addr] = true
	}
	return !t.lost && len(t.failed) >= suspectServers
}

// Lost reports whether the links are lost.
func (t *Tracker) Lost() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.lost
}

// Suspicious reports whether other servers should be probed.
func (t *Tracker) Suspicious() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return !t.lost && len(t.failed) >= suspectServers
}

// Quiet reports whether no server has responded for a while.
func (t *Tracker) Quiet(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return now.Sub(t.respondedAt) >= quietPeriod
}

// Change is a change of the verdict.
type Change struct {
	Lost bool
	// Since is the time of the first failure that led to the verdict, or of the verdict that the links
	// were lost once they are back.
	Since time.Time
}

// Judge records the result of probing servers: opened is the number of connections that opened. It
// returns false if the verdict is the same as before.
func (t *Tracker) Judge(probed, opened int, now time.Time) (c Change, changed bool) {
	if probed == 0 {
		return Change{}, false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if opened > 0 {
		t.respondedAt = now
		clear(t.failed)
		first := t.firstFailure
		t.firstFailure = time.Time{}
		if !t.lost {
			return Change{}, false
		}
		t.lost = false
		if first.IsZero() || t.lostSince.Before(first) {
			first = t.lostSince
		}
		return Change{Since: first}, true
	}
	if t.lost {
		return Change{}, false
	}
	t.lost, t.lostSince = true, now
	if !t.firstFailure.IsZero() {
		t.lostSince = t.firstFailure
	}
	return Change{Lost: true, Since: t.lostSince}, true
}

// Sample returns up to n servers to probe, of as many services and availability zones as possible.
func Sample(all []Server, n int) []Server {
	groups := map[[2]string][]Server{}
	var keys [][2]string
	for _, i := range rand.Perm(len(all)) {
		x := all[i]
		key := [2]string{x.Service, x.Zone}
		if groups[key] == nil {
			keys = append(keys, key)
		}
		groups[key] = append(groups[key], x)
	}
	var out []Server
	for round := 0; len(out) < n && len(out) < len(all); round++ {
		for _, key := range keys {
			if round < len(groups[key]) && len(out) < n {
				out = append(out, groups[key][round])
			}
		}
	}
	return out
}
