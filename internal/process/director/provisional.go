package director

import (
	"context"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/plantainbank/plantainbank/internal/process/catalog"
	"github.com/plantainbank/plantainbank/pkg/process/quorum"
	"github.com/plantainbank/plantainbank/pkg/process/settings"
	"github.com/plantainbank/plantainbank/service/fleet"
)

const (
	// provisionalPeriod is how long after its start a process sends provisional updates:
	// elections take up to 1 s, and a host that asks has just started as well.
	provisionalPeriod = 3 * time.Second
	// provisionalRosterRevision is the roster revision of a provisional update. It is
	// lower than the roster revisions of every leader.
	provisionalRosterRevision = 1
	// provisionalEntryHosts is the number of entry hosts in a provisional update, while
	// the actual one is unknown: that of the largest site, so that cold servers get
	// almost no requests.
	provisionalEntryHosts = 390
)

// provisionalUpdate returns the state on this process's disk, for a host that has no
// state: after a restart of all processes, callers would otherwise wait for an election,
// although the members of the control group have the state on their disks. It returns nil if there
// may be a leader, once this process has run for longer than an election takes, and unless a majority of the
// members has confirmed that nothing is missing on this disk: a withdrawn key must not work again.
func (s *Server) provisionalUpdate(ctx context.Context, q *fleet.Report) *fleet.News {
	if q.Catalog > 0 || q.Role == settings.RoleControl || time.Since(s.started) > provisionalPeriod {
		return nil
	}
	var c *catalog.Catalog
	err := s.do(ctx, func() {
		var settledErr error
		if c, settledErr = s.settledCatalog(); settledErr != nil {
			s.log.WithError(settledErr).Error("cannot decode a replicated command")
		}
	})
	if err != nil {
		s.log.WithError(err).Warn("could not read the provisional state")
		return nil
	}
	if c == nil {
		if s.withheld.CompareAndSwap(false, true) {
			s.log.WithField("to", q.Host.Name).Info("state on disk not sent: a leader is known, or no majority has confirmed it")
		}
		return nil
	}
	if c.Public.Config == nil {
		return nil
	}
	n := &fleet.News{Catalog: c.Revision, Provisional: true, Entries: provisionalEntryHosts, Compressed: q.Differences,
		State: s.copies.get(copyKey{fullCatalog, q.Differences}, c.Revision, c.Public.Encode)}
	if len(c.Instances) > 0 {
		n.Roster = provisionalRosterRevision
		n.Instances = encode(c.Instances)
		if q.Differences {
			n.Instances = compress(n.Instances)
		}
	}
	s.log.WithFields(logrus.Fields{"to": q.Host.Name, "catalog": c.Revision, "instances": len(c.Instances)}).
		Info("sent the provisional state from disk")
	return n
}

// settledCatalog returns the catalog that the log on this disk gives, or nil if the log may lack an entry. The result
// must not be modified. It runs on the control goroutine.
func (s *Server) settledCatalog() (*catalog.Catalog, error) {
	node := s.replica.Node()
	if node.Status().Leader != 0 {
		return nil, nil
	}
	rest, ok := node.Settled()
	if !ok {
		return nil, nil
	}
	rest = slices.DeleteFunc(rest, func(e quorum.Entry) bool { return e.Kind != quorum.EntryCommand })
	if len(rest) == 0 {
		c := *s.catalog
		return &c, nil
	}
	last := rest[len(rest)-1].Index
	if s.settled != nil && s.settledIndex == last {
		return s.settled, nil
	}
	c, err := catalog.Restore(s.catalog.Save())
	if err != nil {
		return nil, err
	}
	for _, e := range rest {
		if _, err := c.Apply(e.Index, e.Data); err != nil {
			return nil, err
		}
	}
	s.settled, s.settledIndex = c, last
	return c, nil
}
