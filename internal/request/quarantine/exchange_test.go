package quarantine

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/plantainbank/plantainbank/service/fleet"
)

// TestMergeOrder checks that processes that exchange their cases in any order, and any number
// of times, agree. All events are within reportPeriod, so that single ends are reported.
func TestMergeOrder(t *testing.T) {
	for seed := range uint64(300) {
		rng := rand.New(rand.NewPCG(seed, 1))
		tables := []*Table{NewTable(100), NewTable(100), NewTable(100), NewTable(100)}
		now := start
		for range 30 {
			now = now.Add(time.Duration(rng.IntN(900)) * time.Millisecond)
			x, f := tables[rng.IntN(len(tables))], Fingerprint{byte(rng.IntN(3))}
			switch rng.IntN(8) {
			case 0:
				x.Served(f, rng.Uint64(), now)
			case 1:
				x.Alive(uint64(1+rng.IntN(6)), now)
			case 2:
				x.Admit(f, rng.Uint64(), true, now)
			case 3:
				tables[rng.IntN(len(tables))].Merge(x.Reported(now), now)
			default:
				x.Ended(f, uint64(1+rng.IntN(6)), now)
			}
		}
		for range 2 {
			for _, i := range rng.Perm(len(tables)) {
				for _, j := range rng.Perm(len(tables)) {
					tables[j].Merge(tables[i].Reported(now), now)
				}
			}
		}
		for i, x := range tables {
			checkCounts(t, x)
			for f, want := range tables[0].records {
				if got := x.records[f]; got == nil || got.endedCount() != want.endedCount() || !got.heldUntil().Equal(want.heldUntil()) {
					t.Fatalf("seed %d: table %d disagrees on %v: %+v, want %+v", seed, i, f, got, want)
				}
			}
		}
	}
}

// maxDelayMS is the longest delay of a simulated message in milliseconds.
const maxDelayMS = 40

// site is a simulated site: entry hosts, two control processes, and messages with delays.
type site struct {
	rng    *rand.Rand
	now    time.Time
	hosts  []*Table
	lead   *Table
	follow *Table
	queue  []message
}

// message is a message that arrives at a process later.
type message struct {
	to    *Table
	cases []*fleet.Case
	at    time.Time
	// answer is the host that gets the published cases in return.
	answer *Table
}

func newSite(rng *rand.Rand, hosts int) *site {
	s := &site{rng: rng, now: start, lead: NewTable(1000), follow: NewTable(1000)}
	for range hosts {
		s.hosts = append(s.hosts, NewTable(100))
	}
	return s
}

func (s *site) send(to *Table, cases []*fleet.Case, answer *Table) {
	delay := time.Duration(1+s.rng.IntN(maxDelayMS)) * time.Millisecond
	s.queue = append(s.queue, message{to: to, cases: cases, at: s.now.Add(delay), answer: answer})
}

// report sends a host's cases to the leader, whose changes go to all hosts.
func (s *site) report(h *Table) { s.send(s.lead, h.Reported(s.now), h) }

// step delivers the messages of the next millisecond.
func (s *site) step() {
	s.now = s.now.Add(time.Millisecond)
	var due []message
	rest := s.queue[:0]
	for _, m := range s.queue {
		if m.at.After(s.now) {
			rest = append(rest, m)
		} else {
			due = append(due, m)
		}
	}
	s.queue = rest
	for _, m := range due {
		before := m.to.Revision()
		m.to.Merge(m.cases, s.now)
		if m.to != s.lead || m.answer == nil {
			continue
		}
		if m.to.Revision() != before {
			cases := s.lead.Published(s.now)
			for _, h := range append(s.hosts, s.follow) {
				s.send(h, cases, nil)
			}
		}
	}
}

// failover makes the follower the leader, and a process without any state the follower.
func (s *site) failover() {
	s.lead, s.follow = s.follow, NewTable(1000)
	for _, h := range s.hosts {
		s.report(h)
	}
}

// TestCrashingRequestIsBounded sends a request that ends every server to random hosts, while
// leaders change, hosts restart and messages are delayed. After the third end, plus the time in
// which hosts learn of it, three further sends are allowed.
func TestCrashingRequestIsBounded(t *testing.T) {
	const grace, allowed = 3 * time.Second, 3
	for seed := range uint64(60) {
		rng := rand.New(rand.NewPCG(seed, 2))
		s := newSite(rng, 9)
		var endedAt []time.Time
		late, incarnation := 0, uint64(0)
		for range 1500 {
			pause := 1 + rng.IntN(100)
			if rng.IntN(40) == 0 {
				pause = 5000
			}
			for range pause {
				s.step()
			}
			switch rng.IntN(100) {
			case 0:
				s.failover()
			case 1:
				i := rng.IntN(len(s.hosts))
				s.hosts[i] = NewTable(100)
				s.hosts[i].Merge(s.lead.Published(s.now), s.now)
			case 2:
				for _, h := range s.hosts {
					s.report(h)
				}
			}
			h := s.hosts[rng.IntN(len(s.hosts))]
			d := h.Admit(poll, rng.Uint64(), true, s.now)
			for sends := 0; sends < 3 && (sends == 0 && d.Verdict != Refuse || sends > 0 && !h.Held(poll)); sends++ {
				if len(endedAt) >= Limit && s.now.Sub(endedAt[Limit-1]) > grace {
					late++
				}
				incarnation++
				h.Ended(poll, incarnation, s.now)
				endedAt = append(endedAt, s.now)
				s.report(h)
				s.step()
			}
		}
		if late > allowed {
			t.Errorf("seed %d: %d sends after the third end, at most %d are allowed; %d in all", seed, late, allowed, len(endedAt))
		}
	}
}

// TestServedRequestsPass sends identical requests that servers answer, while servers end at
// random and a zone is lost: after each loss the requests pass again as soon as one of them
// was served, and no other one than those that were in flight is lost.
func TestServedRequestsPass(t *testing.T) {
	for seed := range uint64(60) {
		rng := rand.New(rand.NewPCG(seed, 3))
		s := newSite(rng, 9)
		incarnation := uint64(0)
		var lostAt time.Time
		for range 2000 {
			for range 1 + rng.IntN(50) {
				s.step()
			}
			if rng.IntN(200) == 0 { // servers end under copies at several hosts, one elsewhere is served
				lostAt = s.now
				for range 1 + rng.IntN(5) {
					incarnation++
					h := s.hosts[rng.IntN(len(s.hosts))]
					h.Ended(poll, incarnation, s.now)
					s.report(h)
				}
				for range 2 * maxDelayMS { // a host that has not heard of the ends does not report that it served
					s.step()
				}
				h := s.hosts[rng.IntN(len(s.hosts))]
				h.Served(poll, rng.Uint64(), s.now)
				s.report(h)
			}
			h := s.hosts[rng.IntN(len(s.hosts))]
			d := h.Admit(poll, rng.Uint64(), true, s.now)
			if d.Verdict != Pass && s.now.Sub(lostAt) > 200*time.Millisecond {
				t.Fatalf("seed %d: refused %v after the loss: %+v", seed, s.now.Sub(lostAt), d)
			}
			if d.Verdict == Pass && h.Suspects() && h.Served(poll, rng.Uint64(), s.now) > 0 {
				s.report(h)
			}
		}
	}
}

// TestVoidMarksStayVoid checks that a report of a host that does not know yet that a server
// still runs, or that a trial reached none, does not restore either.
func TestVoidMarksStayVoid(t *testing.T) {
	host, control := NewTable(10), NewTable(10)
	for i := range uint64(Limit) {
		host.Ended(poll, i+1, start)
	}
	now := start.Add(firstHold)
	host.Admit(poll, 9, true, now)
	stale := host.Reported(now)
	control.Merge(stale, now)
	control.Alive(2, now)
	host.Void(poll, 9)
	control.Merge(host.Reported(now), now)
	control.Merge(stale, now)
	host.Merge(control.Published(now), now)
	for name, x := range map[string]*Table{"control": control, "host": host} {
		if r := x.records[poll]; r.endedCount() != 2 || r.summary().tried != 0 {
			t.Errorf("%s: %+v, want two ended servers and no trial", name, r.summary())
		}
	}
}
