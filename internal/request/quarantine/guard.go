package quarantine

import (
	"math/rand/v2"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"
)

// GuardConfig holds the dependencies of a Guard.
type GuardConfig struct {
	Table *Table
	Log   *logrus.Entry
	Scope tally.Scope
	// Contact reports whether the host has contact to control.
	Contact func() bool
	// ReportNow makes the host report to control at once.
	ReportNow func()
}

// Guard applies the quarantine to the requests of an entry host. A nil Guard admits every
// request. It is safe for concurrent use.
type Guard struct{ cfg GuardConfig }

// NewGuard returns a guard.
func NewGuard(cfg GuardConfig) *Guard { return &Guard{cfg} }

// Request is a request as a guard sees it.
type Request struct {
	// ID is the ID of the caller attempt.
	ID string
	// Fingerprint is called only when it is needed.
	Fingerprint func() Fingerprint
}

// Admission is the decision on a caller attempt.
type Admission struct {
	Decision
	trial uint64
}

// Admit decides on a new caller attempt.
func (g *Guard) Admit(r Request) Admission {
	if g == nil || !g.cfg.Table.Holds() {
		return Admission{}
	}
	a := Admission{trial: newID()}
	a.Decision = g.cfg.Table.Admit(r.Fingerprint(), a.trial, g.cfg.Contact(), time.Now())
	switch a.Verdict {
	case Refuse:
		g.cfg.Scope.Counter("quarantine_refused").Inc(1)
		if a.Unlogged > 0 {
			g.log(r, a.Ended).WithFields(logrus.Fields{"refused": a.Unlogged, "retry_ms": a.RetryAfter.Milliseconds()}).
				Info("quarantined request refused")
		}
	case Try:
		g.cfg.Scope.Counter("quarantine_trials").Inc(1)
		g.log(r, a.Ended).Info("quarantined request sent as a trial")
		g.cfg.ReportNow() // before it is sent, so that other hosts send none
	}
	return a
}

// Withdraw withdraws a trial that reached no server.
func (g *Guard) Withdraw(r Request, a Admission) {
	g.cfg.Table.Void(r.Fingerprint(), a.trial)
	g.cfg.ReportNow()
}

// Held reports whether a request that was admitted is quarantined by now.
func (g *Guard) Held(r Request) bool {
	return g != nil && g.cfg.Table.Holds() && g.cfg.Table.Held(r.Fingerprint())
}

// Ended records that a server ended the connection while it ran a request.
func (g *Guard) Ended(r Request, instance string, born int64) {
	if g == nil {
		return
	}
	ended, held := g.cfg.Table.Ended(r.Fingerprint(), Incarnation(instance, born), time.Now())
	g.cfg.Scope.Counter("quarantine_ended").Inc(1)
	entry := g.log(r, ended).WithField("instance", instance)
	entry.Info("server ended under a request")
	if held {
		entry.Warn("request quarantined")
	}
	g.cfg.ReportNow()
}

// Served records that a server answered a request completely.
func (g *Guard) Served(r Request) {
	if g == nil || !g.cfg.Table.Suspects() {
		return
	}
	if n := g.cfg.Table.Served(r.Fingerprint(), newID(), time.Now()); n > 0 {
		g.cfg.Scope.Counter("quarantine_cleared").Inc(1)
		g.log(r, n).Info("request cleared, a server has served it")
		g.cfg.ReportNow()
	}
}

func (g *Guard) log(r Request, ended int) *logrus.Entry {
	return g.cfg.Log.WithFields(logrus.Fields{"request": r.ID, "fingerprint": r.Fingerprint().String(), "ended": ended})
}

// newID returns a random ID that is not zero.
func newID() uint64 { return rand.Uint64() | 1 }
