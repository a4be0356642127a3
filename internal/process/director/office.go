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
	hostLive = 2500 * time.Millisecond
	// keepPeriod is the least time between two writes of the roster to the log.
	keepPeriod = time.Second
	// settleTime is how long a new leader withholds its roster if it had no
	// copy: two announcement periods of 1.2 s.
	settleTime = 2600 * time.Millisecond
)

// office is what a leader knows in one term beyond the catalog.
type office struct {
	term  uint64
	since time.Time
	// token is zero until the office is opened in the log.
	token   uint64
	opening bool
	roster  *roster.Table
	hosts   map[string]*host
	planner *weights.Planner
	// accepted holds the number of orders that an engine has accepted, by
	// instance and start.
	accepted map[start]uint64
	// closing is true while a usage window is being closed or reported.
	closing bool
	// fenced is when a call was refused for an old token.
	fenced time.Time
	// kept is the roster's revision that was written to the log last, and
	// keptAt when that was.
	kept    uint64
	keptAt  time.Time
	keeping bool
	// inherited is true once the roster of the log was taken over.
	inherited bool
	// founding is when enough store hosts were there first.
	founding time.Time
}

// start names one start of an instance.
type start struct {
	id   string
	born int64
}

// host is what a host last told of itself.
type host struct {
	*fleet.Host
	role        string
	incarnation uint64
	heard       time.Time
	leaving     bool
	replica     *fleet.Replica
	// usage holds the latest counts by window, of this incarnation.
	usage map[uint64]map[string]uint64
}

func newOffice(term uint64, now time.Time) *office {
	return &office{term: term, since: now, roster: roster.New(term << 32), hosts: map[string]*host{},
		planner: weights.New(), accepted: map[start]uint64{}}
}

// inherit takes over the roster that the log holds. A process that has just
// been elected may not have applied the log yet, so this waits for the first
// call that needs the leader.
func (o *office) inherit(kept []roster.Instance) {
	if !o.inherited {
		o.inherited = true
		o.roster.Load(kept, time.Now())
	}
}

// settled reports whether the roster is fit to be sent.
func (o *office) settled(now time.Time) bool { return now.Sub(o.since) > settleTime }

// take stores a report.
func (o *office) take(q *fleet.Report, now time.Time) *host {
	key := q.Role + " " + q.Host.Name
	h := o.hosts[key]
	if h == nil || q.Incarnation > h.incarnation {
		h = &host{incarnation: q.Incarnation, usage: map[uint64]map[string]uint64{}, role: q.Role}
		o.hosts[key] = h
	}
	if q.Incarnation < h.incarnation {
		return h
	}
	h.Host, h.heard, h.leaving, h.replica = q.Host, now, q.Leaving, q.Replica
	for _, w := range q.Usage {
		h.usage[w.Number] = w.Counts
	}
	return h
}

// live returns the hosts of a role that are there.
func (o *office) live(role string, now time.Time) []*host {
	var out []*host
	for _, h := range o.hosts {
		if h.role == role && now.Sub(h.heard) < hostLive {
			out = append(out, h)
		}
	}
	return out
}

// storeLead returns the leader of the store group, as the stores tell.
func (o *office) storeLead(now time.Time) *host {
	var lead *host
	for _, h := range o.hosts {
		if h.replica == nil || !h.replica.Leader || now.Sub(h.heard) >= hostLive {
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
func (o *office) rosterFor(role string) uint64 {
	if role == settings.RoleEntry {
		return o.roster.RoutingRevision
	}
	return o.roster.Revision
}

// instancesFor returns what hosts of a role should have.
func (o *office) instancesFor(role string) []roster.Instance {
	if role == settings.RoleEntry {
		return o.roster.AllWithoutWeights()
	}
	return o.roster.All()
}

// least returns the oldest versions that open steps allow, as the leader of the
// store group tells.
func (o *office) least(now time.Time) map[string]uint64 {
	if lead := o.storeLead(now); lead != nil {
		return lead.replica.Least
	}
	return nil
}

// voters returns the store hosts that hold the batches, all if that is not
// known.
func (o *office) voters(stores []*fleet.Host, now time.Time) []*fleet.Host {
	lead := o.storeLead(now)
	if lead == nil {
		return stores
	}
	return slices.DeleteFunc(stores, func(h *fleet.Host) bool { return !slices.Contains(lead.replica.Voters, h.Disk) })
}

// controlHosts lists the control processes for the plan of the membership. It
// runs outside of the control goroutine.
func (s *Server) controlHosts() []replica.Host {
	out := []replica.Host{{Name: s.cfg.Site.Host, Zone: s.cfg.Site.Zone, Addr: s.cfg.Site.InternalAddr(),
		Disk: s.replica.Disk(), Heard: time.Now()}}
	s.hosts("control", func(h *host) {
		out = append(out, replica.Host{Name: h.Name, Zone: h.Zone, Addr: h.Addr, Disk: h.Disk, Heard: h.heard})
	})
	return out
}
