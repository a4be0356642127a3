package control

import (
	"testing"
	"time"

	"github.com/plantainbank/plantainbank/pkg/process/fleet"
	"github.com/plantainbank/plantainbank/pkg/process/ledger"
	"github.com/plantainbank/plantainbank/pkg/process/ramp"
	"github.com/plantainbank/plantainbank/pkg/version/record"
	pb "github.com/plantainbank/plantainbank/service/control"
)

var testStart = time.Unix(1000, 0)

func testAnnouncement(id string, incarnation, seq uint64) *pb.Announcement {
	return &pb.Announcement{Id: id, Incarnation: incarnation, Seq: seq, Zone: "z", Pool: "p", Bears: 8}
}

// TestSuspectServerClearsAfterTwoAnnouncements checks that a host that lost a connection to
// a server must not use the server until the server is known to be running or a new
// incarnation has announced itself.
func TestSuspectServerClearsAfterTwoAnnouncements(t *testing.T) {
	for _, c := range []struct {
		name          string
		announcements []*pb.Announcement
		suspected     bool
	}{
		{"no announcement", nil, true},
		{"one announcement, possibly sent before the failure", []*pb.Announcement{testAnnouncement("s", 1, 6)}, true},
		{"two announcements", []*pb.Announcement{testAnnouncement("s", 1, 6), testAnnouncement("s", 1, 7)}, false},
		{"old announcements repeated", []*pb.Announcement{testAnnouncement("s", 1, 5), testAnnouncement("s", 1, 4)}, true},
		{"restarted", []*pb.Announcement{testAnnouncement("s", 2, 1)}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			l := newLeadership(1, testStart, 3*time.Second)
			l.applyAnnouncement(testAnnouncement("s", 1, 5), testStart)
			l.recordSuspects("h", []*pb.Holding{{Backend: "s", Incarnation: 1, Suspect: true}})
			for _, a := range c.announcements {
				l.applyAnnouncement(a, testStart)
			}
			b := l.backends["s"]
			if got := b.isSuspect("h"); got != c.suspected {
				t.Fatalf("suspect is %v, want %v", got, c.suspected)
			}
			if b.isSuspect("other") {
				t.Fatal("the server is suspect for another host too")
			}
			if b.announced.Incarnation == 2 && b.ramp.Limit != 1 {
				t.Fatalf("a restarted server has limit %d, want 1", b.ramp.Limit)
			}
		})
	}
}

func TestSilentServersExpire(t *testing.T) {
	l := newLeadership(1, testStart, 3*time.Second)
	l.applyAnnouncement(testAnnouncement("s", 1, 1), testStart)
	table := l.tableVersion
	l.expire(testStart.Add(backendTTL))
	if len(l.backends) != 1 {
		t.Fatal("server removed before backendTTL has passed")
	}
	l.shares.Report("h", nil)
	l.shares.Grant("h", l.backends["s"].resource(), 1)
	l.leases.Grant("h", testStart.Add(backendTTL))
	if l.expire(testStart.Add(backendTTL + time.Millisecond)); len(l.backends) != 1 {
		t.Fatal("server removed while a host still has a share")
	}
	l.expire(testStart.Add(2*backendTTL + time.Second))
	if l.expire(testStart.Add(2*backendTTL + time.Second)); len(l.backends) != 0 || l.tableVersion == table {
		t.Fatalf("%d servers left, want none; table version is %d", len(l.backends), l.tableVersion)
	}
}

// TestTargetsFollowFairDemand checks that a flood of requests through one host does not
// reduce the shares of other hosts below the fair parts of their workspaces, and that a
// host without demand gets a share. If the rounding of each server's division were not
// carried over to the next server, such a host would get no share when limits are small.
func TestTargetsFollowFairDemand(t *testing.T) {
	l := newLeadership(1, testStart, 3*time.Second)
	for _, id := range []string{"s1", "s2"} {
		l.applyAnnouncement(testAnnouncement(id, 1, 1), testStart)
		l.backends[id].ramp.Limit = 8
	}
	demand := func(workspace string, n float64) map[poolWorkspace]float64 {
		return map[poolWorkspace]float64{{"p", workspace}: n}
	}
	for name, d := range map[string]map[poolWorkspace]float64{"flooded": demand("flood", 500), "calm": demand("calm", 8), "idle": nil} {
		l.hosts[name] = &host{name: name, demand: d}
		l.leases.Grant(name, testStart)
	}
	l.updateTargets(map[string]float64{"flood": 1, "calm": 1}, testStart)
	sums := map[string]int{}
	for _, id := range []string{"s1", "s2"} {
		total := 0
		for h, n := range l.targets[id] {
			sums[h] += n
			total += n
		}
		if total != 8 {
			t.Errorf("targets of %s add up to %d of 8", id, total)
		}
	}
	if sums["calm"] < 6 || sums["flooded"] < 6 || sums["idle"] < 1 {
		t.Errorf("shares are %v", sums)
	}
}

// TestSharesSurviveLeaderChange reports holdings to a new leader. The host keeps its share
// of a server that the new leader does not know yet, but not of a restarted or suspect one.
// If a new leader took away the shares of unknown servers, hosts would have no shares until
// the leases of the earlier leader have ended.
func TestSharesSurviveLeaderChange(t *testing.T) {
	s := &Server{leadership: newLeadership(2, time.Now(), 3*time.Second), ledger: ledger.New()}
	s.leadership.applyAnnouncement(testAnnouncement("restarted", 2, 1), time.Now())
	q := &pb.RenewRequest{Host: "h", Holdings: []*pb.Holding{
		{Backend: "unannounced", Share: 3, Incarnation: 1, Limit: 8},
		{Backend: "restarted", Share: 2, Incarnation: 1, Limit: 8},
		{Backend: "broken", Share: 2, Incarnation: 1, Limit: 8, Suspect: true},
	}}
	got := s.grantShares(q, time.Now())
	if len(got) != 1 || got[0].Backend != "unannounced" || got[0].Share != 3 {
		t.Fatalf("shares are %v", got)
	}
}

// TestMinServersOrderedForPoolWithoutServers checks that the minimum of a zone is ordered
// for a pool that has no announced servers and no demand.
func TestMinServersOrderedForPoolWithoutServers(t *testing.T) {
	s := &Server{leadership: newLeadership(1, time.Now(), 3*time.Second), ledger: ledger.New()}
	s.ledger.Records["zone/z"] = record.Record{Kind: "zone", Name: "z", Schema: 2,
		Spec: []byte(`{"state":"in","least":{"p":2},"most":{"p":4}}`)}
	orders := fleet.New(0.25, time.Second, time.Second).Plan(s.fleetDemand(), s.fleetZones(), nil, time.Now())
	if len(orders) != 1 || orders[0].Pool != "p" || orders[0].Steady != 2 {
		t.Fatalf("orders are %+v", orders)
	}
}

func TestNewLeadershipWaitsForOldLeases(t *testing.T) {
	l := newLeadership(1, testStart, 3*time.Second)
	if l.oldLeasesExpired(testStart.Add(3 * time.Second)) {
		t.Fatal("old leases count as expired while one may still be valid")
	}
	if !l.oldLeasesExpired(testStart.Add(3*time.Second + leaseDriftAllowance + 1)) {
		t.Fatal("old leases never expire")
	}
}

// TestSharesResetOnServerRestart restarts a server while two hosts have shares of it. The
// hosts together get no more than the limit of the new incarnation, and the shares of the
// previous incarnation do not count against that limit.
func TestSharesResetOnServerRestart(t *testing.T) {
	now := time.Now()
	l := newLeadership(1, now.Add(-time.Hour), time.Second)
	l.applyAnnouncement(&pb.Announcement{Id: "s", Incarnation: 1, Seq: 1, Bears: 8}, now)
	l.shares.SetLimit(l.backends["s"].resource(), 8)
	for _, h := range []string{"a", "b"} {
		l.shares.Report(h, nil)
		if n := l.shares.Grant(h, l.backends["s"].resource(), 4); n != 4 {
			t.Fatalf("host %s got a share of %d, want 4", h, n)
		}
	}
	l.applyAnnouncement(&pb.Announcement{Id: "s", Incarnation: 2, Seq: 1, Bears: 8}, now)
	sum := 0
	for _, h := range []string{"a", "b"} {
		l.shares.Report(h, holdingsFromProto([]*pb.Holding{{Backend: "s", Incarnation: 1, Share: 4, Running: 2}}))
		sum += l.shares.Grant(h, l.backends["s"].resource(), 4)
	}
	if sum != 1 {
		t.Fatalf("the hosts have shares of %d of the new incarnation, want 1", sum)
	}
}

// TestRampResetsOnServerRestart checks that outcomes of the previous incarnation of a server
// do not raise the limit of the new one. Counted across a restart, they would double the
// limit at the first report.
func TestRampResetsOnServerRestart(t *testing.T) {
	now := time.Now()
	l := newLeadership(1, now.Add(-time.Hour), time.Second)
	h := &host{outcomes: map[string]ramp.Counts{}}
	l.applyAnnouncement(&pb.Announcement{Id: "s", Incarnation: 1, Seq: 1, Bears: 8}, now)
	for served := range uint64(50) {
		l.observeOutcomes(h, []*pb.Outcome{{Backend: "s", Incarnation: 1, Served: served}})
	}
	l.applyAnnouncement(&pb.Announcement{Id: "s", Incarnation: 2, Seq: 1, Bears: 8}, now)
	for served := range uint64(3) {
		l.observeOutcomes(h, []*pb.Outcome{{Backend: "s", Incarnation: 2, Served: served}})
	}
	if got := l.backends["s"].ramp.Limit; got != ramp.InitialLimit {
		t.Fatalf("the limit is %d after two served requests, want %d", got, ramp.InitialLimit)
	}
}
