package control

import (
	"context"
	"slices"
	"time"

	"github.com/plantainbank/plantainbank/pkg/process/ledger"
)

// reportUsage closes the usage window when it is over, and reports closed windows in order.
// If an answer is lost, the same bytes are sent again.
func (s *Server) reportUsage(ctx context.Context) {
	if s.cfg.Platform.UsageURL == "" {
		return
	}
	now := time.Now()
	var due *ledger.CloseWindow
	var pending []ledger.Window
	err := s.onLeader(ctx, func() error {
		due = s.dueClose(now)
		pending = slices.Clone(s.ledger.Usage.Pending)
		return nil
	})
	if err != nil {
		return
	}
	if due != nil {
		if _, err := s.propose(ctx, ledger.Command{CloseWindow: due}); err != nil {
			return
		}
	}
	for _, w := range pending {
		if _, err := s.postOrder(ctx, s.cfg.Platform.UsageURL, w.Number, w.Encode()); err != nil {
			s.scope.Counter("reports_failed").Inc(1)
			return
		}
		s.scope.Counter("reports_sent").Inc(1)
		if _, err := s.propose(ctx, ledger.Command{MarkReported: &ledger.MarkReported{Number: w.Number}}); err != nil {
			return
		}
	}
}

// dueClose returns the command that closes the open window, or nil if the window is not
// over yet.
func (s *Server) dueClose(now time.Time) *ledger.CloseWindow {
	u := &s.ledger.Usage
	end := now.Truncate(time.Duration(s.cfg.UsageWindow)).UnixMilli()
	if !s.leadership.oldLeasesExpired(now) || end <= u.Start {
		return nil
	}
	c := &ledger.CloseWindow{Number: u.Next, Start: end - time.Duration(s.cfg.UsageWindow).Milliseconds(), End: end, Sources: map[string]map[string]ledger.Counters{}}
	for name, counters := range s.leadership.usage {
		c.Sources[name] = counters
	}
	return c
}

// recordUsage stores the latest counters of a host's incarnation.
func (s *Server) recordUsage(h *host) {
	s.leadership.usage[ledger.SourceName(h.name, h.incarnation)] = h.usage
}
