package control

import (
	"time"

	"github.com/plantainbank/plantainbank/pkg/process/lease"
	"github.com/plantainbank/plantainbank/pkg/process/ledger"
	"github.com/plantainbank/plantainbank/pkg/process/ramp"
	"github.com/plantainbank/plantainbank/pkg/process/share"
)

// Periods of a leadership.
const (
	// grantAllowance covers clock drift between an entry host and the leader.
	leaseDriftAllowance = 200 * time.Millisecond
	// backendTTL ends a backend server that no longer announces itself.
	backendTTL = 4 * time.Second
	// idleWeight is the part of the shares that is split without regard to
	// demand, so that a host without demand can start at once.
	equalSplitWeight = 0.3
)

// leadership is what a leader knows in one term beyond the ledger: leases, backend
// servers, shares and claims. Entry hosts report enough to rebuild it.
type leadership struct {
	term uint64
	// since is the start of the leadership.
	started time.Time
	leases  *lease.Table[string]
	hosts   map[string]*host
	shares  *share.Allocator
	// table counts the changes of backends. It starts above the numbers of
	// earlier leaderships.
	tableVersion uint64
	backends     map[string]*backend
	// targets holds the wanted share by backend server and host.
	targets map[string]map[string]int
	claims  map[claimKey]*claim
	// usage holds the latest counters of every incarnation of a host.
	usage map[string]map[string]ledger.Counters
	// turn rotates the rollout that is served first.
	rolloutTurn int
}

// host is an entry host with a lease.
type host struct {
	name        string
	incarnation uint64
	zone        string
	// seq is the number of the latest renewal; older ones are ignored.
	seq      uint64
	revision uint64
	// demand is the moving average by pool and workspace.
	demand map[poolWorkspace]float64
	// load is the moving average of the offered load by pool.
	load     map[string]float64
	usage    map[string]ledger.Counters
	outcomes map[string]ramp.Counts
	leaving  bool
}

func newLeadership(term uint64, now time.Time, leasePeriod time.Duration) *leadership {
	return &leadership{
		term: term, started: now, tableVersion: term << 32,
		leases:   lease.NewTable[string](leasePeriod, leaseDriftAllowance),
		hosts:    map[string]*host{},
		shares:   share.NewAllocator(),
		backends: map[string]*backend{},
		targets:  map[string]map[string]int{},
		claims:   map[claimKey]*claim{},
		usage:    map[string]map[string]ledger.Counters{},
	}
}

// settled reports whether every lease of an earlier leader has ended, so that
// hosts which have not reported hold nothing.
func (l *leadership) oldLeasesExpired(now time.Time) bool {
	return now.Sub(l.started) > l.leases.Period+l.leases.Allowance
}

// expire drops the hosts whose lease has ended and the backend servers that
// fell silent. It returns whether anything changed.
func (l *leadership) expire(now time.Time) bool {
	changed := false
	for _, name := range l.leases.Expire(now) {
		l.shares.Drop(name)
		l.releaseClaims(name)
		changed = true
	}
	for id, b := range l.backends {
		if now.Sub(b.lastHeard) <= backendTTL {
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

// maintainLeadership runs the periodic work of a leader on the control goroutine.
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
