package admission

import (
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"
	"google.golang.org/protobuf/proto"

	"github.com/plantainbank/plantainbank/service/fleet"
)

// The replayed site: 75 hosts that poll each 0.8 s, and servers of six slots whose calls take 25 ms on
// average. queue is the number of calls that wait at a server.
const (
	hostCount = 75
	slotCount = 6
	// mean and longest are the times of a call in ms.
	mean, longest = 25, 190
	poll          = 800 * time.Millisecond
	step          = time.Millisecond
)

var start = time.Unix(1_000_000, 0)

type simServer struct {
	lostFrom, lostTo time.Duration
	queue            int
	ends             []time.Time
	waiting          []*simCall
	running          []*simCall
}

type simCall struct {
	flow     string
	priority int
	host     int
	returns  int
	taken    time.Time
}

// flowLoad is the demand of one workspace in calls per second from one time to another.
type flowLoad struct {
	workspace string
	priority  int
	rate      float64
	from, to  time.Duration
	// returns is how often a refused caller comes back.
	returns int
}

type count struct{ calls, served int }

// sim plays callers, hosts, servers and the control leader.
type sim struct {
	share bool
	// slow returns how many times as long the calls take that a server begins now.
	slow func(server int, at time.Duration) float64
	// control reports whether a host reaches the control leader.
	control func(host int, at time.Duration) bool
	hosts   []*Host
	// fullUntil is until when a host takes a server for full.
	fullUntil [][]time.Duration
	ledger    *Ledger
	servers   []*simServer
	random    *rand.Rand
	at        time.Duration
	returns   map[int64][]*simCall
	counts    map[string]*count
	// served, refused, asked and bytes count, in each second, calls served by servers, calls refused by
	// hosts, attempts at servers, and bytes of reports and answers beyond those in normal operation.
	served, refused, asked, bytes []int
	// retries are the Retry-After times that hosts derived.
	retries []time.Duration
}

func newSim(share bool, queue int) *sim {
	s := &sim{share: share, ledger: NewLedger(start), random: rand.New(rand.NewPCG(1, 2)), returns: map[int64][]*simCall{}, counts: map[string]*count{},
		slow: func(int, time.Duration) float64 { return 1 }, control: func(int, time.Duration) bool { return true }}
	log := logrus.New()
	log.SetOutput(io.Discard)
	for range hostCount {
		s.fullUntil = append(s.fullUntil, make([]time.Duration, 3))
		s.hosts = append(s.hosts, NewHost(HostConfig{Log: logrus.NewEntry(log), Scope: tally.NoopScope, Random: s.random.Float64}))
	}
	for range 3 {
		s.servers = append(s.servers, &simServer{queue: queue})
	}
	return s
}

func (s *sim) now() time.Time { return start.Add(s.at) }

func (s *sim) run(until time.Duration, flows ...flowLoad) {
	for ; s.at < until; s.at += step {
		if s.at%time.Second == 0 {
			for _, all := range []*[]int{&s.served, &s.refused, &s.asked, &s.bytes} {
				*all = append(*all, 0)
			}
		}
		s.poll()
		for i, v := range s.servers {
			s.advance(i, v)
		}
		ms := s.at.Milliseconds()
		for _, c := range s.returns[ms] {
			c.host = s.random.IntN(hostCount)
			s.begin(c)
		}
		delete(s.returns, ms)
		for _, f := range flows {
			if s.at < f.from || s.at >= f.to {
				continue
			}
			for n := f.rate * step.Seconds(); n > 0; n-- {
				if s.random.Float64() < n {
					s.count(f.workspace).calls++
					s.begin(&simCall{flow: f.workspace, priority: f.priority, host: s.random.IntN(hostCount), returns: f.returns})
				}
			}
		}
	}
}

func (s *sim) count(workspace string) *count {
	if s.counts[workspace] == nil {
		s.counts[workspace] = &count{}
	}
	return s.counts[workspace]
}

// poll lets each host report to the leader, at a time of its own.
func (s *sim) poll() {
	for i, h := range s.hosts {
		if s.at%poll != poll*time.Duration(i)/hostCount/step*step {
			continue
		}
		loads := h.Report(s.now())
		if !s.share || !s.control(i, s.at) {
			continue
		}
		s.ledger.Report(fmt.Sprint(i), loads, s.now())
		pressures := s.ledger.Pressures(func(string) int { return len(s.servers) * slotCount }, s.now())
		h.Apply(pressures, s.now())
		s.bytes[len(s.bytes)-1] += proto.Size(&fleet.Report{Plain: loads}) + proto.Size(&fleet.News{Pressures: pressures})
	}
}

func (s *sim) begin(c *simCall) {
	now, h := s.now(), s.hosts[c.host]
	if retry, ok := h.Admit("plain", Flow{c.flow, c.priority}, now); !ok {
		s.refused[len(s.refused)-1]++
		s.retries = append(s.retries, retry)
		s.refuse(c, retry)
		return
	}
	retry, pressed := h.Pressed("plain", now)
	if !pressed {
		retry = 250 * time.Millisecond
	}
	known := s.fullUntil[c.host]
	tries := 0
	for _, i := range s.random.Perm(len(s.servers)) {
		if s.at < known[i] && !(tries == 0 && s.allFull(known)) {
			continue
		}
		v := s.servers[i]
		tries++
		s.asked[len(s.asked)-1]++
		if s.enter(v, c, h) {
			return
		}
		known[i] = s.at + 120*time.Millisecond
		if pressed && s.allFull(known) {
			break
		}
	}
	h.RecordFailed("plain", now)
	s.refuse(c, retry)
}

func (s *sim) allFull(known []time.Duration) bool { return slices.Min(known) > s.at }

func (s *sim) lost(v *simServer) bool { return s.at >= v.lostFrom && s.at < v.lostTo }

func (s *sim) enter(v *simServer, c *simCall, h *Host) bool {
	if s.lost(v) {
		return false
	}
	if len(v.running) >= slotCount && len(v.waiting) >= v.queue {
		h.RecordRefused("plain", Load{len(v.running) + len(v.waiting), slotCount}, s.now())
		return false
	}
	c.taken = s.now()
	v.waiting = append(v.waiting, c)
	return true
}

func (s *sim) refuse(c *simCall, retry time.Duration) {
	if c.returns == 0 {
		return
	}
	c.returns--
	at := (s.at + max(retry, step)).Milliseconds()
	s.returns[at] = append(s.returns[at], c)
}

func (s *sim) advance(i int, v *simServer) {
	if s.lost(v) {
		v.running, v.waiting, v.ends = nil, nil, nil
		return
	}
	now := s.now()
	for k := 0; k < len(v.running); k++ {
		if v.ends[k].After(now) {
			continue
		}
		c := v.running[k]
		v.running, v.ends = append(v.running[:k], v.running[k+1:]...), append(v.ends[:k], v.ends[k+1:]...)
		k--
		s.hosts[c.host].RecordServed("plain", now.Sub(c.taken), Load{len(v.running) + len(v.waiting), slotCount}, now)
		s.count(c.flow).served++
		s.served[len(s.served)-1]++
	}
	for len(v.waiting) > 0 && len(v.running) < slotCount {
		took := time.Duration(min(longest, mean*s.random.ExpFloat64()) * s.slow(i, s.at) * float64(time.Millisecond))
		v.running, v.ends = append(v.running, v.waiting[0]), append(v.ends, now.Add(took))
		v.waiting = v.waiting[1:]
	}
}

func sum(all []int, from, to int) (n int) {
	for _, x := range all[from:to] {
		n += x
	}
	return n
}

// servedPart returns the part of the calls that were served, of all workspaces but the flood.
func (s *sim) servedPart() float64 {
	n := count{}
	for name, c := range s.counts {
		if name != "flood" {
			n.calls, n.served = n.calls+c.calls, n.served+c.served
		}
	}
	return float64(n.served) / float64(n.calls)
}

// ordinary returns workspaces with 72 calls per second together; callers come back once.
func ordinary(more ...flowLoad) []flowLoad {
	flows := append(more, flowLoad{"large", 0, 60, 0, time.Hour, 1})
	for k := range 6 {
		flows = append(flows, flowLoad{fmt.Sprint("small", k), 0, 2, 0, time.Hour, 1})
	}
	return flows
}

// flood returns a workspace that sends three times what the servers can take from 10 s to 40 s and
// comes back three times.
func flood(priority int) flowLoad {
	return flowLoad{"flood", priority, 2200, 10 * time.Second, 40 * time.Second, 3}
}

// TestFloodBesideOrdinaryWorkspaces guards against a workspace that takes the capacity of the others
// through all hosts, and against refusals while servers have room. One server is lost for 6 s.
func TestFloodBesideOrdinaryWorkspaces(t *testing.T) {
	for _, queue := range []int{0, slotCount} {
		var part [2]float64
		var served, asked [2]int
		for i, share := range []bool{false, true} {
			s := newSim(share, queue)
			s.servers[1].lostFrom, s.servers[1].lostTo = 25*time.Second, 31*time.Second
			s.run(time.Minute, ordinary(flood(0))...)
			part[i], served[i], asked[i] = s.servedPart(), sum(s.served, 14, 40)/26, sum(s.asked, 14, 40)/26
			t.Logf("queue %d, share %v: %.3f of the ordinary calls served, %d/s served in all, servers asked %d/s, %d B/s", queue, share, part[i],
				served[i], asked[i], sum(s.bytes, 14, 40)/26)
			if n := sum(s.refused, 0, 10) + sum(s.refused, 56, 60); n > 0 {
				t.Errorf("queue %d: %d calls refused before the flood and after it", queue, n)
			}
			if n := sum(s.bytes, 0, 10) + sum(s.bytes, 59, 60); n > 0 {
				t.Errorf("queue %d: %d bytes in normal operation", queue, n)
			}
			together := map[time.Duration]int{}
			for _, d := range s.retries {
				if d < minRetry || d > maxRetry {
					t.Fatalf("Retry-After %v", d)
				}
				together[d/(100*time.Millisecond)]++
			}
			for d, n := range together {
				if n > len(s.retries)/12 {
					t.Errorf("queue %d: %d of %d callers are to return within 0.1 s after %v", queue, n, len(s.retries), d*100*time.Millisecond)
				}
			}
		}
		if part[0] > 0.7 || part[1] < 0.93 {
			t.Errorf("queue %d: %.3f of the ordinary calls served, without shares %.3f", queue, part[1], part[0])
		}
		if served[1]*10 < served[0]*7 || asked[1]*4 > asked[0] {
			t.Errorf("queue %d: %d calls per second served, without shares %d; servers asked %d and %d times", queue, served[1], served[0], asked[1], asked[0])
		}
	}
}

// TestPriorities guards against urgent calls that wait behind a flood of less urgent ones, and the
// other way around against a flood that is more urgent and gets no more than others.
func TestPriorities(t *testing.T) {
	for _, priority := range []int{-1, 1} {
		s := newSim(true, slotCount)
		s.run(35*time.Second, ordinary(flood(priority))...)
		part := s.servedPart()
		t.Logf("flood of priority %d: %.3f of the ordinary calls served, %d calls of the flood", priority, part, s.counts["flood"].served)
		if priority < 0 && part > 0.6 || priority > 0 && part < 0.93 {
			t.Errorf("flood of priority %d: %.3f of the ordinary calls served", priority, part)
		}
	}
}

// TestNoRefusalWithoutOverload guards against refusals by hosts while servers are slow for a moment, one is
// lost, or callers come in a burst.
func TestNoRefusalWithoutOverload(t *testing.T) {
	for _, queue := range []int{0, slotCount} {
		s := newSim(true, queue)
		s.servers[2].lostFrom, s.servers[2].lostTo = 20*time.Second, 26*time.Second
		s.slow = func(server int, at time.Duration) float64 {
			if (at/(600*time.Millisecond)+time.Duration(server))%7 == 0 {
				return 2.5
			}
			return 1
		}
		flows := ordinary(flowLoad{"busy", 0, 150, 0, time.Hour, 1})
		for i := range 10 {
			at := time.Duration(3*i) * time.Second
			flows = append(flows, flowLoad{"burst", 0, 2000, at, at + 100*time.Millisecond, 1})
		}
		s.run(30*time.Second, flows...)
		if n := sum(s.refused, 0, 30); n > 0 {
			t.Errorf("queue %d: hosts refused %d calls", queue, n)
		}
	}
}

// TestControlAway guards against hosts that go on refusing by old shares: without control, and cut off from it.
func TestControlAway(t *testing.T) {
	s := newSim(true, slotCount)
	s.control = func(host int, at time.Duration) bool { return at < 18*time.Second && host > 0 }
	s.run(40*time.Second, ordinary(flood(0))...)
	if n := sum(s.refused, 20, 27); n < 1000 {
		t.Errorf("%d calls refused in 7 s of the 10 s without control", n)
	}
	if n := sum(s.refused, 30, 40); n > 0 {
		t.Errorf("%d calls refused later", n)
	}
	if retry, pressed := s.hosts[0].Pressed("plain", s.now()); pressed || retry > 0 {
		t.Error("a host without control knows of pressure")
	}
}

// TestNewLeader guards against a new control leader that lets the flood in again, since it knows nothing, and one
// of the build before, which names no shares.
func TestNewLeader(t *testing.T) {
	s := newSim(true, slotCount)
	flows := ordinary(flood(0))
	s.run(20*time.Second, flows...)
	s.ledger = NewLedger(s.now())
	s.run(30*time.Second, flows...)
	if n := sum(s.asked, 20, 30) / 10; n > 1500 {
		t.Errorf("servers asked %d times a second", n)
	}
	if events := s.ledger.Events(); len(events) == 0 || !events[0].Adopted {
		t.Errorf("events %+v", events)
	}
	for _, h := range s.hosts {
		h.Apply(nil, s.now())
		if _, ok := h.Admit("plain", Flow{"flood", 0}, s.now()); !ok {
			t.Fatal("refused without a share")
		}
	}
}

// TestHostsOfTheBuildBefore guards against shares that are computed as if the capacity were that of the hosts that
// report: half of the hosts do not and admit all calls.
func TestHostsOfTheBuildBefore(t *testing.T) {
	s := newSim(true, slotCount)
	s.control = func(host int, _ time.Duration) bool { return host%2 == 0 }
	s.run(40*time.Second, ordinary(flood(0))...)
	if n := sum(s.served, 14, 40) / 26; n < 500 {
		t.Errorf("%d calls per second served", n)
	}
}

// TestDivide guards against capacity that is left over while a flow asks for more.
func TestDivide(t *testing.T) {
	got := Divide(100, map[Flow]float64{{"a", 0}: 10, {"b", 0}: 30, {"c", 1}: 50, {"d", 1}: 20, {"e", 2}: 5})
	want := map[string]float64{"a": 10, "b": 30, "c": 40, "d": 20, "e": 0}
	for _, x := range got {
		if x.Rate != want[x.Workspace] {
			t.Errorf("%s gets %v, want %v", x.Workspace, x.Rate, want[x.Workspace])
		}
	}
}
