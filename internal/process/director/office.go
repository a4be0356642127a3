package director

import (
	"slices"
	"time"

	"github.com/plantainbank/plantainbank/internal/process/roster"
	"github.com/plantainbank/plantainbank/internal/process/weights"
	"github.com/plantainbank/plantainbank/pkg/process/replica"
	"github.com/plantainbank/plantainbank/pkg/process/settings"
	"github.com/plantainbank/plantainbank/service/fleet"
)

// Periods of an office.
const (
	// hostLive is how long a host counts as there after its latest report; it
	// reports every 0.8 s.
	hostTimeout = 2500 * time.Millisecond
	// keepPeriod is the least time between two writes of the roster to the log.
	saveRosterPeriod = time.Second
	// settleTime is how long a new leader withholds its roster if it had no
	// copy: two announcement periods of 1.2 s.
	settleTime = 2600 * time.Millisecond
)

// office is what a leader knows in one term beyond the catalog.
type leadership struct {
	term  uint64
	since time.Time
	// token is zero until the office is opened in the log.
	token        uint64
	establishing bool
	roster       *roster.Table
	hosts        map[string]*host
	planner      *weights.Planner
	// accepted holds the number of orders that an engine has accepted, by
	// instance and start.
	accepted map[incarnation]uint64
	// closing is true while a usage window is being closed or reported.
	closingWindow bool
	// fenced is when a call was refused for an old token.
	fencedAt time.Time
	// kept is the roster's revision that was written to the log last, and
	// keptAt when that was.
	savedRevision uint64
	savedAt       time.Time
	saving        bool
	// inherited is true once the roster of the log was taken over.
	rosterLoaded bool
	// founding is when enough store hosts were there first.
	storesReadyAt time.Time
}

// start names one start of an instance.
type incarnation struct {
	id   string
	born int64
}

// host is what a host last told of itself.
type host struct {
	*fleet.Host
	role        string
	incarnation uint64
	lastReport  time.Time
	leaving     bool
	replica     *fleet.Replica
	// usage holds the latest counts by window, of this incarnation.
	usage map[uint64]map[string]uint64
}

func newLeadership(term uint64, now time.Time) *leadership {
	return &leadership{term: term, since: now, roster: roster.New(term << 32), hosts: map[string]*host{},
		planner: weights.New(), accepted: map[incarnation]uint64{}}
}

// inherit takes over the roster that the log holds. A process that has just
// been elected may not have applied the log yet, so this waits for the first
// call that needs the leader.
func (l *leadership) loadRoster(stored []roster.Instance) {
	if !l.rosterLoaded {
		l.rosterLoaded = true
		l.roster.Load(stored, time.Now())
	}
}

// settled reports whether the roster is fit to be sent.
func (l *leadership) settled(now time.Time) bool { return now.Sub(l.since) > settleTime }

// take stores a report.
func (l *leadership) recordReport(q *fleet.Report, now time.Time) *host {
	key := q.Role + " " + q.Host.Name
	h := l.hosts[key]
	if h == nil || q.Incarnation > h.incarnation {
		h = &host{incarnation: q.Incarnation, usage: map[uint64]map[string]uint64{}, role: q.Role}
		l.hosts[key] = h
	}
	if q.Incarnation < h.incarnation {
		return h
	}
	h.Host, h.lastReport, h.leaving, h.replica = q.Host, now, q.Leaving, q.Replica
	for _, w := range q.Usage {
		h.usage[w.Number] = w.Counts
	}
	return h
}

// live returns the hosts of a role that are there.
func (l *leadership) liveHosts(role string, now time.Time) []*host {
	var out []*host
	for _, h := range l.hosts {
		if h.role == role && now.Sub(h.lastReport) < hostTimeout {
			out = append(out, h)
		}
	}
	return out
}

// storeLead returns the leader of the store group, as the stores tell.
func (l *leadership) storeLeader(now time.Time) *host {
	var lead *host
	for _, h := range l.hosts {
		if h.replica == nil || !h.replica.Leader || now.Sub(h.lastReport) >= hostTimeout {
			continue
		}
		if lead == nil || h.replica.Term > lead.replica.Term {
			lead = h
		}
	}
	return lead
}

// rosterFor returns the revision of the roster that hosts of a role should have.
// Entry hosts do not choose by weights, which change several times a second; there
// are many of them, and the roster goes as a whole.
func (l *leadership) rosterRevision(role string) uint64 {
	if role == settings.RoleEntry {
		return l.roster.Traffic
	}
	return l.roster.Revision
}

// instancesFor returns what hosts of a role should have.
func (l *leadership) instancesFor(role string) []roster.Instance {
	if role == settings.RoleEntry {
		return l.roster.AllTraffic()
	}
	return l.roster.All()
}

// least returns the oldest versions that open steps allow, as the leader of the
// store group tells.
func (l *leadership) minVersions(now time.Time) map[string]uint64 {
	if lead := l.storeLeader(now); lead != nil {
		return lead.replica.Least
	}
	return nil
}

// voters returns the store hosts that hold the batches, all if that is not
// known.
func (l *leadership) voters(stores []*fleet.Host, now time.Time) []*fleet.Host {
	lead := l.storeLeader(now)
	if lead == nil {
		return stores
	}
	return slices.DeleteFunc(stores, func(h *fleet.Host) bool { return !slices.Contains(lead.replica.Voters, h.Disk) })
}

// controlHosts lists the control processes for the plan of the membership. It
// runs outside of the control goroutine.
func (s *Server) controlHosts() []replica.Host {
	out := []replica.Host{{Name: s.cfg.Site.Host, Zone: s.cfg.Site.Zone, Addr: s.cfg.Site.Internal(),
		Disk: s.replica.Disk(), Heard: time.Now()}}
	s.eachHost("control", func(h *host) {
		out = append(out, replica.Host{Name: h.Name, Zone: h.Zone, Addr: h.Addr, Disk: h.Disk, Heard: h.lastReport})
	})
	return out
}
