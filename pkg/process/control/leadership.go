package control

import (
	"time"

	"github.com/plantainbank/plantainbank/pkg/process/lease"
	"github.com/plantainbank/plantainbank/pkg/process/ledger"
	"github.com/plantainbank/plantainbank/pkg/process/ramp"
	"github.com/plantainbank/plantainbank/pkg/process/share"
)

// Durations and weights of a leadership.
const (
	// leaseDriftAllowance covers clock drift between an entry host and the leader.
	leaseDriftAllowance = 200 * time.Millisecond
	// backendTTL is the time without announcements after which a backend server is
	// removed.
	backendTTL = 4 * time.Second
	// equalSplitWeight is the weight of an equal split among all hosts, added to the split
	// by demand, so that a host without demand can start requests at once.
	equalSplitWeight = 0.3
)

// leadership is the state of a leader in one term that is not in the ledger: leases, backend
// servers, shares and claims. The reports of the entry hosts suffice to rebuild it.
type leadership struct {
	term uint64
	// started is the time at which the leadership began.
	started time.Time
	leases  *lease.Table[string]
	hosts   map[string]*host
	shares  *share.Allocator
	// tableVersion counts the changes of backends. It starts above the versions of earlier
	// leaderships.
	tableVersion uint64
	backends     map[string]*backend
	// targets contains the target shares by backend server and host.
	targets map[string]map[string]int
	claims  map[claimKey]*claim
	// usage contains the latest counters of every incarnation of a host.
	usage map[string]map[string]ledger.Counters
	// rolloutTurn counts the claim calls and selects the rollout that is served first.
	rolloutTurn int
}

// host is an entry host that has renewed its lease in this term.
type host struct {
	name        string
	incarnation uint64
	zone        string
	// seq is the number of the latest renewal; renewals up to it are refused.
	seq      uint64
	revision uint64
	// demand is the moving average of the demand by pool and workspace.
	demand map[poolWorkspace]float64
	// load is the moving average of the offered load by pool.
	load     map[string]float64
	usage    map[string]ledger.Counters
	outcomes map[string]ramp.Counts
	leaving  bool
}

func newLeadership(term uint64, now time.Time, leaseDuration time.Duration) *leadership {
	return &leadership{
		term: term, started: now, tableVersion: term << 32,
		leases:   lease.NewTable[string](leaseDuration, leaseDriftAllowance),
		hosts:    map[string]*host{},
		shares:   share.NewAllocator(),
		backends: map[string]*backend{},
		targets:  map[string]map[string]int{},
		claims:   map[claimKey]*claim{},
		usage:    map[string]map[string]ledger.Counters{},
	}
}

// oldLeasesExpired reports whether every lease granted by an earlier leader has ended, so
// that hosts that have not reported to this leader have no shares.
func (l *leadership) oldLeasesExpired(now time.Time) bool {
	return now.Sub(l.started) > l.leases.Duration+l.leases.Allowance
}

// expire releases the shares and claims of hosts whose lease has ended, and removes the
// backend servers that no longer announce themselves once no host has a share of them. It
// reports whether anything changed.
func (l *leadership) expire(now time.Time) bool {
	changed := false
	for _, name := range l.leases.Expire(now) {
		l.shares.Drop(name)
		l.releaseClaims(name)
		changed = true
	}
	for id, b := range l.backends {
		if now.Sub(b.lastAnnouncement) <= backendTTL {
			continue
		}
		l.shares.SetLimit(b.resource(), 0)
		if l.shares.Remove(b.resource()) {
			delete(l.backends, id)
			l.tableVersion++
			changed = true
		}
	}
	return changed
}

// maintainLeadership updates the leases, backend servers and target shares of a leader. It
// runs periodically on the control goroutine.
func (s *Server) maintainLeadership() {
	l := s.leadership
	if l == nil {
		return
	}
	now := time.Now()
	before := l.tableVersion
	if l.expire(now) || l.tableVersion != before {
		s.wakeWaiters()
	}
	l.updateTargets(s.decodedRecords().weights, now)
	s.scope.Gauge("entry_hosts").Update(float64(l.leases.Len()))
	s.scope.Gauge("backend_servers").Update(float64(len(l.backends)))
}
