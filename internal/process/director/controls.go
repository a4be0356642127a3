package director

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/twitchtv/twirp"

	"github.com/plantainbank/plantainbank/internal/process/catalog"
	"github.com/plantainbank/plantainbank/pkg/process/settings"
)

const (
	// maxControls is the number of control processes that the log has. Beyond it, those that have been silent
	// for longest are dropped.
	maxControls = 16
	// saveControlsInterval is the minimum time between two writes of the control processes to the log.
	saveControlsInterval = 500 * time.Millisecond
	// introductionInterval is how often a leader calls the control processes that have not reported to it.
	introductionInterval = 500 * time.Millisecond
)

// mergeControls returns the control processes that the log should have, or nil if stored is up to date. A live
// process replaces the stored ones with its name or its address.
func mergeControls(stored, live []catalog.ControlHost) []catalog.ControlHost {
	if !slices.ContainsFunc(live, func(x catalog.ControlHost) bool { return !slices.Contains(stored, x) }) {
		return nil
	}
	out := slices.DeleteFunc(slices.Clone(stored), func(old catalog.ControlHost) bool {
		return slices.ContainsFunc(live, func(x catalog.ControlHost) bool { return x.Name == old.Name || x.Addr == old.Addr })
	})
	live = slices.SortedFunc(slices.Values(live), func(a, b catalog.ControlHost) int { return cmp.Compare(a.Name, b.Name) })
	out = append(out, live...)
	return out[max(0, len(out)-maxControls):]
}

// saveControls writes the control processes to the log if there are others than it has.
func (s *Server) saveControls(ctx context.Context, l *leadership, now time.Time) {
	if l.savingControls || now.Sub(l.savedControlsAt) < saveControlsInterval {
		return
	}
	live := []catalog.ControlHost{{Name: s.cfg.Site.Host, Addr: s.cfg.Site.InternalAddr(), Disk: s.replica.Disk()}}
	for _, h := range l.liveHosts(settings.RoleControl, now) {
		if h.Name != s.cfg.Site.Host && h.Addr != "" {
			live = append(live, catalog.ControlHost{Name: h.Name, Addr: h.Addr, Disk: h.Disk})
		}
	}
	next := mergeControls(s.catalog.Controls, live)
	if next == nil {
		return
	}
	l.savingControls, l.savedControlsAt = true, now
	go func() {
		ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
		defer cancel()
		err := s.propose(ctx, &catalog.Command{Controls: next})
		err = errors.Join(err, s.do(context.WithoutCancel(ctx), func() { l.savingControls = false }))
		log := s.log.WithField("controls", len(next))
		if err != nil {
			log.WithError(err).Warn("could not save the control processes to the log, will retry")
			return
		}
		log.Info("saved the control processes to the log")
	}()
}

// introductions returns the addresses of the control processes that a leader should call, each with the storage
// number of the process that is meant, zero for the seeds: the settings name addresses only. live holds the
// addresses that have reported.
func introductions(seeds []string, stored []catalog.ControlHost, live map[string]bool) map[string]uint64 {
	out := map[string]uint64{}
	for _, x := range stored {
		if !live[x.Addr] {
			out[x.Addr] = x.Disk
		}
	}
	for _, addr := range seeds {
		if !live[addr] {
			out[addr] = 0
		}
	}
	return out
}

// introduce calls the control processes that have not reported to this leader: after a restart of all processes
// they may know no member of the control group, and hosts may ask only them for the leader. The settings of this
// process may be older than those of the hosts, so its seeds alone are not enough.
func (s *Server) introduce(ctx context.Context, now time.Time) {
	live := map[string]bool{s.cfg.Site.InternalAddr(): true}
	var stored []catalog.ControlHost
	callCtx, cancel := context.WithTimeout(ctx, helloTimeout)
	defer cancel()
	err := s.do(callCtx, func() {
		stored = s.catalog.Controls
		if s.leadership == nil {
			return
		}
		for _, h := range s.leadership.liveHosts(settings.RoleControl, now) {
			live[h.Addr] = true
		}
	})
	if err != nil {
		s.log.WithError(err).Warn("could not list the control processes")
		return
	}
	for addr, disk := range introductions(s.feed.Seeds(), stored, live) {
		go func() {
			var e twirp.Error
			if err := s.feed.Introduce(ctx, addr, disk); err != nil && !(errors.As(err, &e) && e.Code() == twirp.FailedPrecondition) {
				s.log.WithError(err).WithFields(logrus.Fields{"control": addr, "disk": disk}).Debug("could not introduce this leader")
			}
		}()
	}
}
