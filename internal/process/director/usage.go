package director

import (
	"context"
	"errors"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/plantainbank/plantainbank/internal/process/catalog"
)

// usageDelay is how long after the end of a window the hosts' counts are collected: two
// report intervals of 0.8 s and the clock difference between hosts.
const usageDelay = 2500 * time.Millisecond

// windowsScanned is how many windows before the current one are checked. The report of an
// older one is long overdue.
const windowsScanned = 5

// reportUsage closes the windows that have ended and reports them, one at a time. A
// window's counts are fixed in the log before they are reported.
func (s *Server) reportUsage(ctx context.Context, l *leadership, now time.Time) {
	if l.closingWindow || s.catalog.Public.Config == nil || now.Sub(l.since) < usageDelay {
		return
	}
	length := s.cfg.Site.Bounds.Window.Duration()
	current := uint64(now.Add(-usageDelay).UnixNano() / int64(length))
	for n := current - windowsScanned; n < current; n++ {
		w := s.catalog.Windows[n]
		if w != nil && w.Reported || n < s.catalog.Floor {
			continue
		}
		counts := l.sumUsage(n)
		if w != nil {
			counts = w.Counts
		}
		l.closingWindow = true
		go s.closeWindow(ctx, l, n, w != nil, counts)
		return
	}
}

// sumUsage adds up the counts that the hosts reported for a window.
func (l *leadership) sumUsage(n uint64) map[string]uint64 {
	sum := map[string]uint64{}
	for _, role := range l.hosts {
		for _, h := range role {
			for workspace, c := range h.usage[n] {
				sum[workspace] += c
			}
		}
	}
	return sum
}

// closeWindow closes and reports one window.
func (s *Server) closeWindow(ctx context.Context, l *leadership, n uint64, closed bool, counts map[string]uint64) {
	ctx, cancel := context.WithTimeout(ctx, 3*callTimeout)
	defer cancel()
	var err error
	if !closed {
		err = s.propose(ctx, &catalog.Command{Close: &catalog.WindowClose{Number: n, Counts: counts}})
	}
	if err == nil && !s.holdsLease(l) {
		err = &NotLeaderError{}
	}
	if err == nil {
		err = s.cfg.External.ReportUsage(ctx, s.fencingToken(l), n, counts)
	}
	if err == nil {
		err = s.propose(ctx, &catalog.Command{ReportedWindow: n})
	}
	entry := s.log.WithFields(logrus.Fields{"window": n, "workspaces": len(counts), "token": l.token})
	if err != nil {
		entry.WithError(err).Warn("could not report usage, will retry")
	} else {
		entry.Info("usage reported")
	}
	var fenced *FencedError
	doErr := s.do(context.WithoutCancel(ctx), func() {
		l.closingWindow = false
		if errors.As(err, &fenced) {
			l.fencedAt = time.Now()
		}
	})
	if doErr != nil {
		s.log.WithError(doErr).Warn("could not record the outcome of a usage report")
	}
}
