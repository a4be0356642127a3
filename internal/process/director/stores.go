package director

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/plantainbank/plantainbank/internal/process/catalog"
	"github.com/plantainbank/plantainbank/pkg/process/settings"
)

// UnknownHostError reports a store host that nobody knows.
type UnknownHostError struct{ Host string }

func (e *UnknownHostError) Error() string { return fmt.Sprintf("no store host is named %q", e.Host) }

// TooFewError reports that too few store hosts would be left.
type TooFewHostsError struct{ Remaining, Required int }

func (e *TooFewHostsError) Error() string {
	return fmt.Sprintf("%d store hosts would be left, %d are needed", e.Remaining, e.Required)
}

// foundStores chooses the first voters of the store group, once, when enough
// store hosts have shown up; and again if the first of them lost its disk before
// it could found the group.
func (s *Server) foundStores(o *office, now time.Time) {
	if founders := s.catalog.Public.InitialVoters; founders != nil && !neverFounded(founders, o.live(settings.RoleStore, now), s.cfg.Site.MaxLostHosts) {
		return
	}
	var empty []*host
	for _, h := range o.live(settings.RoleStore, now) {
		if h.Empty {
			empty = append(empty, h)
		}
	}
	if len(empty) < s.cfg.Site.Replicas() {
		return
	}
	if o.founding.IsZero() {
		o.founding = now
	}
	if now.Sub(o.founding) < foundDelay {
		return
	}
	o.founding = now
	founders := chooseFounders(empty, s.cfg.Site.Replicas())
	go s.proposeFounders(founders, s.catalog.Public.InitialVoters)
}

// neverFounded reports whether the group that the founders should form has surely
// accepted nothing and never will: the first founder, which alone forms it, has
// another disk now, and so many of the others are there with their empty disks
// that no majority can have had an entry.
func neverFounded(founders []catalog.InitialVoter, live []*host, tolerate int) bool {
	lost, empty := false, 0
	for _, h := range live {
		for i, f := range founders {
			switch {
			case h.Addr == f.Addr && h.Disk != f.Disk && i == 0:
				lost = true
			case h.Disk == f.Disk && h.Empty:
				empty++
			}
		}
	}
	return lost && empty > tolerate
}

func (s *Server) proposeFounders(founders, was []catalog.InitialVoter) {
	ctx, cancel := context.WithTimeout(context.Background(), openTimeout)
	defer cancel()
	if err := s.propose(ctx, &catalog.Command{InitialVoters: founders, PreviousVoters: was}); err != nil {
		s.log.WithError(err).Warn("could not name the founders of the store group")
		return
	}
	s.log.WithField("replicas", len(founders)).Info("named the founders of the store group")
}

// chooseFounders spreads the founders over the availability zones.
func chooseFounders(hosts []*host, n int) []catalog.InitialVoter {
	slices.SortFunc(hosts, func(a, b *host) int { return strings.Compare(a.Name, b.Name) })
	inZone := map[string]int{}
	var out []catalog.InitialVoter
	for round := 0; len(out) < n && round < n; round++ {
		for _, h := range hosts {
			if len(out) < n && inZone[h.Zone] == round && !named(out, h) {
				inZone[h.Zone]++
				out = append(out, catalog.InitialVoter{Disk: h.Disk, Addr: h.Addr})
			}
		}
	}
	return out
}

func named(founders []catalog.InitialVoter, h *host) bool {
	return slices.ContainsFunc(founders, func(f catalog.InitialVoter) bool { return f.Disk == h.Disk })
}

// Retire asks that a store host be emptied. The error is an *UnknownHostError,
// a *TooFewError or a *NotLeaderError, or says that the outcome is unknown.
func (s *Server) Retire(ctx context.Context, name string) error {
	err := s.onLeader(ctx, func(o *office) error {
		now := time.Now()
		if s.catalog.Public.Retiring[name] {
			return nil
		}
		left, known := 0, false
		for _, h := range o.live(settings.RoleStore, now) {
			if h.Name == name {
				known = true
			} else if !s.catalog.Public.Retiring[h.Name] {
				left++
			}
		}
		switch {
		case !known:
			return &UnknownHostError{name}
		case left < s.cfg.Site.Replicas():
			return &TooFewHostsError{left, s.cfg.Site.Replicas()}
		}
		return nil
	})
	if err != nil {
		return err
	}
	err = s.propose(ctx, &catalog.Command{Retire: name})
	s.decided(err, "retiring a store host", map[string]any{"store": name})
	return err
}

// Retired reports whether every copy that a retiring host held is elsewhere.
func (s *Server) Retired(ctx context.Context, name string) (done bool, err error) {
	err = s.onLeader(ctx, func(o *office) error {
		if !s.catalog.Public.Retiring[name] {
			return &UnknownHostError{name}
		}
		lead := o.storeLead(time.Now())
		h := o.hosts[settings.RoleStore+" "+name]
		if lead == nil || h == nil {
			return nil
		}
		done = lead.replica.Whole && !slices.Contains(lead.replica.Voters, h.Disk)
		return nil
	})
	return done, err
}
