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

// UnknownHostError reports that no store host has the given name.
type UnknownHostError struct{ Host string }

func (e *UnknownHostError) Error() string { return fmt.Sprintf("no store host is named %q", e.Host) }

// TooFewHostsError reports that too few store hosts would remain.
type TooFewHostsError struct{ Remaining, Required int }

func (e *TooFewHostsError) Error() string {
	return fmt.Sprintf("%d store hosts would be left, %d are needed", e.Remaining, e.Required)
}

// chooseStoreVoters chooses the initial voters of the store group, once, when enough
// store hosts are live. It chooses others if the first of them lost its disk before it
// could bootstrap the group.
func (s *Server) chooseStoreVoters(l *leadership, now time.Time) {
	if voters := s.catalog.Public.InitialVoters; voters != nil && !neverBootstrapped(voters, l.liveHosts(settings.RoleStore, now), s.cfg.Site.MaxLostHosts) {
		return
	}
	var empty []*host
	for _, h := range l.liveHosts(settings.RoleStore, now) {
		if h.Empty {
			empty = append(empty, h)
		}
	}
	if len(empty) < s.cfg.Site.Replicas() {
		return
	}
	if l.storesReadyAt.IsZero() {
		l.storesReadyAt = now
	}
	if now.Sub(l.storesReadyAt) < bootstrapDelay {
		return
	}
	l.storesReadyAt = now
	voters := chooseInitialVoters(empty, s.cfg.Site.Replicas())
	go s.proposeInitialVoters(voters, s.catalog.Public.InitialVoters)
}

// neverBootstrapped reports whether the group that the initial voters should form has
// definitely accepted nothing and never will: the first voter, which alone bootstraps it,
// has another disk now, and so many of the others are live with their disks still empty
// that no majority can have stored an entry.
func neverBootstrapped(voters []catalog.InitialVoter, live []*host, tolerate int) bool {
	lost, empty := false, 0
	for _, h := range live {
		for i, v := range voters {
			switch {
			case h.Addr == v.Addr && h.Disk != v.Disk && i == 0:
				lost = true
			case h.Disk == v.Disk && h.Empty:
				empty++
			}
		}
	}
	return lost && empty > tolerate
}

func (s *Server) proposeInitialVoters(voters, previous []catalog.InitialVoter) {
	ctx, cancel := context.WithTimeout(context.Background(), proposeTimeout)
	defer cancel()
	if err := s.propose(ctx, &catalog.Command{InitialVoters: voters, PreviousVoters: previous}); err != nil {
		s.log.WithError(err).Warn("could not propose the initial voters of the store group")
		return
	}
	s.log.WithField("replicas", len(voters)).Info("chose the initial voters of the store group")
}

// chooseInitialVoters spreads the initial voters over the availability zones.
func chooseInitialVoters(hosts []*host, n int) []catalog.InitialVoter {
	slices.SortFunc(hosts, func(a, b *host) int { return strings.Compare(a.Name, b.Name) })
	inZone := map[string]int{}
	var out []catalog.InitialVoter
	for round := 0; len(out) < n && round < n; round++ {
		for _, h := range hosts {
			if len(out) < n && inZone[h.Zone] == round && !isVoter(out, h) {
				inZone[h.Zone]++
				out = append(out, catalog.InitialVoter{Disk: h.Disk, Addr: h.Addr})
			}
		}
	}
	return out
}

func isVoter(voters []catalog.InitialVoter, h *host) bool {
	return slices.ContainsFunc(voters, func(v catalog.InitialVoter) bool { return v.Disk == h.Disk })
}

// Retire requests that all copies be moved off a store host. The error is an
// *UnknownHostError, a *TooFewHostsError or a *NotLeaderError; any other error means that
// the outcome is unknown.
func (s *Server) Retire(ctx context.Context, name string) error {
	err := s.onLeader(ctx, func(l *leadership) error {
		now := time.Now()
		if s.catalog.Public.Retiring[name] {
			return nil
		}
		remaining, known := 0, false
		for _, h := range l.liveHosts(settings.RoleStore, now) {
			if h.Name == name {
				known = true
			} else if !s.catalog.Public.Retiring[h.Name] {
				remaining++
			}
		}
		switch {
		case !known:
			return &UnknownHostError{name}
		case remaining < s.cfg.Site.Replicas():
			return &TooFewHostsError{remaining, s.cfg.Site.Replicas()}
		}
		return nil
	})
	if err != nil {
		return err
	}
	err = s.propose(ctx, &catalog.Command{Retire: name})
	s.logOutcome(err, "retiring a store host", map[string]any{"store": name})
	return err
}

// Retired reports whether every copy that a retiring host stored is on other hosts.
func (s *Server) Retired(ctx context.Context, name string) (done bool, err error) {
	err = s.onLeader(ctx, func(l *leadership) error {
		if !s.catalog.Public.Retiring[name] {
			return &UnknownHostError{name}
		}
		lead := l.storeLeader(time.Now())
		h := l.hosts[settings.RoleStore][name]
		if lead == nil || h == nil {
			return nil
		}
		done = lead.replica.Whole && !slices.Contains(lead.replica.Voters, h.Disk)
		return nil
	})
	return done, err
}
