// Package grace decides what an entry host still takes after it was told to stop. It does no I/O.
//
// Load pattern: a load balancer goes on sending new connections for up to 2 s, and callers use the
// connections that they have until these are closed. The host ends a fixed time after the signal.
// What it cannot answer by then would be cut, which is worst for a request that may not be repeated:
// its caller never learns whether it ran. In the first seconds nearly all requests end in time, and
// a caller that is sent away may meet the next host that stops. Later ones are taken only if they
// have to end before the host does, and are refused at once otherwise, so that their callers go to
// another host. What is still running shortly before the end is answered as unknown; only a stream
// can be cut.
//
// Rejected alternative: take every request until the listener is closed, 3.5 s after the signal.
// Streams that came between 3.0 s and 3.5 s were cut at 7 s.
package grace

import "time"

const (
	// lateAfter is the time after the signal from which a request must end before the host does.
	lateAfter = 2500 * time.Millisecond
	// exitMargin is the longest part of the grace period that is left for the process to exit, and
	// exitShare its share of a short one: what still runs is not cut before the last sixth.
	exitMargin = time.Second
	exitShare  = 8
	// answerMargin is the time before the exit in which the last answers are sent.
	answerMargin = 150 * time.Millisecond
)

// Period is the time from the signal to stop until the process is killed.
type Period struct {
	Start  time.Time
	Length time.Duration
}

// Exit returns the time at which the host cuts what is still running.
func (p *Period) Exit() time.Time {
	return p.Start.Add(p.Length - min(exitMargin, p.Length/exitShare))
}

// LastAnswer returns the time by which every request that is not a stream has an answer.
func (p *Period) LastAnswer() time.Time { return p.Exit().Add(-answerMargin) }

// Admits reports whether the host takes a request with a deadline now. A nil period admits all.
func (p *Period) Admits(deadline, now time.Time) bool {
	return p == nil || now.Sub(p.Start) < lateAfter || !deadline.After(p.LastAnswer())
}
