package director

import (
	"io"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"github.com/plantainbank/plantainbank/internal/process/catalog"
	"github.com/plantainbank/plantainbank/internal/process/roster"
	"github.com/plantainbank/plantainbank/internal/request/quarantine"
	"github.com/plantainbank/plantainbank/pkg/process/settings"
	"github.com/plantainbank/plantainbank/service/fleet"
)

func newTestServer() *Server {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return &Server{cfg: Config{Scope: tally.NoopScope}, log: logrus.NewEntry(log), catalog: catalog.New(),
		quarantine: quarantine.NewTable(10), changed: make(chan struct{})}
}

// caseOf returns a report that servers ended under a request.
func caseOf(f quarantine.Fingerprint, incarnations ...uint64) []*fleet.Case {
	c := &fleet.Case{Fingerprint: f[:]}
	for _, id := range incarnations {
		c.Ended = append(c.Ended, &fleet.Mark{Id: id, Age: uint32(10 * time.Second.Milliseconds())})
	}
	return []*fleet.Case{c}
}

// woken reports whether waiting calls were woken since the last call.
func woken(s *Server, last *chan struct{}) bool {
	select {
	case <-*last:
		*last = s.changed
		return true
	default:
		return false
	}
}

// TestQuarantineReachesHosts reports ends from several hosts: waiting calls are woken when
// hosts must learn of them, and only then.
func TestQuarantineReachesHosts(t *testing.T) {
	s, l, now, f := newTestServer(), newLeadership(3, time.Now()), time.Now(), quarantine.Fingerprint{1}
	changed := s.changed
	a, b := quarantine.Incarnation("a", 1), quarantine.Incarnation("b", 1)
	for _, c := range []struct {
		name  string
		do    func()
		wakes bool
		cases int
	}{
		{"first end", func() { s.mergeCases("h1", caseOf(f, a), now) }, false, 0},
		{"repeated report", func() { s.mergeCases("h1", caseOf(f, a), now) }, false, 0},
		{"end at another host", func() { s.mergeCases("h2", caseOf(f, b), now) }, true, 1},
		{"third end", func() { s.mergeCases("h3", caseOf(f, 3), now) }, true, 1},
		{"repeated reports", func() { s.mergeCases("h3", caseOf(f, 3), now); s.mergeCases("h1", caseOf(f, a), now) }, false, 1},
		{"end of another request", func() { s.mergeCases("h1", caseOf(quarantine.Fingerprint{2}, a), now) }, false, 1},
		{"successor of a server", func() { s.heardOf(roster.Instance{ID: "a", Born: 2}, now) }, false, 1},
		{"a server that still runs", func() { s.heardOf(roster.Instance{ID: "a", Born: 1}, now) }, true, 1},
	} {
		revision := s.quarantineRevision(l, settings.RoleEntry)
		c.do()
		if got := woken(s, &changed); got != c.wakes || (s.quarantineRevision(l, settings.RoleEntry) > revision) != c.wakes {
			t.Errorf("%s: wakes %v, want %v", c.name, got, c.wakes)
		}
		if n := len(s.quarantine.Published(now)); n != c.cases {
			t.Errorf("%s: %d cases published, want %d", c.name, n, c.cases)
		}
	}
	if s.quarantine.Held(f) {
		t.Error("quarantined, although one of the three servers still runs")
	}
	next := newLeadership(4, now)
	if s.quarantineRevision(next, settings.RoleEntry) <= s.quarantineRevision(l, settings.RoleEntry) {
		t.Error("the revision did not grow with the term")
	}
	if s.quarantineRevision(l, settings.RoleStore) != 0 {
		t.Error("store hosts get the quarantine")
	}
}
