package director

import (
	"context"
	"errors"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/plantainbank/plantainbank/internal/process/catalog"
)

// usageDelay is how long after a window's end the hosts' counts are taken: two
// report periods of 0.8 s and the clocks' difference.
const usageDelay = 2500 * time.Millisecond

// windowsLooked is how many windows before the current one are looked at. The
// report of an older one is long overdue.
const windowsLooked = 5

// reportUsage closes the windows that have ended and reports them, one after
// the other. A window's counts are fixed in the log before they are reported.
func (s *Server) reportUsage(ctx context.Context, o *office, now time.Time) {
	if o.closing || s.catalog.Public.Config == nil || now.Sub(o.since) < usageDelay {
		return
	}
	length := s.cfg.Site.Bounds.Window.Duration()
	current := uint64(now.Add(-usageDelay).UnixNano() / int64(length))
	for n := current - windowsLooked; n < current; n++ {
		w := s.catalog.Windows[n]
		if w != nil && w.Reported || n < s.catalog.Floor {
			continue
		}
		counts := o.count(n)
		if w != nil {
			counts = w.Counts
		}
		o.closing = true
		go s.closeWindow(ctx, o, n, w != nil, counts)
		return
	}
}

// count adds up what the hosts told of a window.
func (o *office) count(n uint64) map[string]uint64 {
	sum := map[string]uint64{}
	for _, h := range o.hosts {
		for workspace, c := range h.usage[n] {
			sum[workspace] += c
		}
	}
	return sum
}

// closeWindow closes and reports one window.
func (s *Server) closeWindow(ctx context.Context, o *office, n uint64, closed bool, counts map[string]uint64) {
	ctx, cancel := context.WithTimeout(ctx, 3*callTimeout)
	defer cancel()
	var err error
	if !closed {
		err = s.propose(ctx, &catalog.Command{Close: &catalog.WindowClose{Number: n, Counts: counts}})
	}
	if err == nil && !s.acting(o) {
		err = &NotLeaderError{}
	}
	if err == nil {
		err = s.cfg.External.ReportUsage(ctx, s.mark(o), n, counts)
	}
	if err == nil {
		err = s.propose(ctx, &catalog.Command{ReportedWindow: n})
	}
	entry := s.log.WithFields(logrus.Fields{"window": n, "workspaces": len(counts), "token": o.token})
	if err != nil {
		entry.WithError(err).Warn("usage is not reported yet")
	} else {
		entry.Info("usage reported")
	}
	var fenced *FencedError
	doErr := s.do(context.WithoutCancel(ctx), func() {
		o.closing = false
		if errors.As(err, &fenced) {
			o.fenced = time.Now()
		}
	})
	if doErr != nil {
		s.log.WithError(doErr).Warn("could not note the outcome of a usage report")
	}
}
