package quarantine

import (
	"testing"
	"time"

	"github.com/plantainbank/plantainbank/service/fleet"
)

var (
	start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	poll  = Fingerprint{1}
)

// event is one event of a load pattern, at a time after its start.
type event struct {
	at time.Duration
	// ends is the incarnation that ends, alive one that is heard of.
	ends, alive uint64
	served      bool
	// void withdraws the latest trial.
	void bool
	// admit is a new caller attempt, for which want is expected.
	admit     bool
	noContact bool
	want      Verdict
}

func ends(at time.Duration, incarnations ...uint64) (out []event) {
	for _, id := range incarnations {
		out = append(out, event{at: at, ends: id})
	}
	return out
}

func admit(at time.Duration, want Verdict) event { return event{at: at, admit: true, want: want} }

func pattern(parts ...[]event) (out []event) {
	for _, p := range parts {
		out = append(out, p...)
	}
	return out
}

func one(e event) []event { return []event{e} }

func TestLoadPatterns(t *testing.T) {
	s, ms := time.Second, time.Millisecond
	third := ends(0, 1, 2, 3)
	trial := pattern(third, one(admit(firstHold, Try)))
	for _, c := range []struct {
		name   string
		events []event
	}{
		{"unknown request", one(admit(0, Pass))},
		{"two servers ended", pattern(ends(0, 1, 2), one(admit(ms, Pass)))},
		{"one server ended, three copies ran there", pattern(ends(0, 1, 1, 1), one(admit(ms, Pass)))},
		{"three servers ended", pattern(third, one(admit(0, Refuse)), one(admit(firstHold-ms, Refuse)))},
		{"three servers ended within minutes", pattern(ends(0, 1), ends(100*s, 2), ends(200*s, 3), one(admit(201*s, Refuse)))},
		{"unrelated ends, long apart", pattern(ends(0, 1), ends(6*time.Minute, 2), ends(12*time.Minute, 3), one(admit(12*time.Minute, Pass)))},
		{"identical polls in a zone loss, one elsewhere is served", pattern(third, one(event{at: 5 * ms, served: true}), one(admit(6*ms, Pass)))},
		{"served between ends", pattern(ends(0, 1, 2), one(event{at: s, served: true}), ends(2*s, 3), one(admit(2*s, Pass)))},
		{"trial is served", pattern(trial, one(event{at: firstHold + ms, served: true}), one(admit(firstHold+2*ms, Pass)))},
		{"other attempts during a trial", pattern(trial, one(admit(firstHold+ms, Refuse)), one(admit(2*firstHold, Refuse)))},
		{"trial ends a server", pattern(trial, ends(firstHold+ms, 4), one(admit(3*firstHold, Refuse)), one(admit(firstHold+longHold+2*ms, Try)))},
		{"trial without an outcome", pattern(trial, one(admit(firstHold+longHold-ms, Refuse)), one(admit(firstHold+longHold+ms, Try)))},
		{"trial that reached no server", pattern(trial, one(event{at: firstHold + ms, void: true}), one(admit(firstHold+2*ms, Try)))},
		{"two trials end servers", pattern(trial, ends(firstHold, 4), one(admit(firstHold+longHold, Try)), ends(firstHold+longHold, 5),
			one(admit(time.Hour, Refuse)), one(admit(time.Hour+50*time.Minute, Refuse)), one(admit(2*time.Hour+49*time.Minute, Refuse)))},
		{"not seen for an hour after two trials", pattern(trial, one(admit(firstHold+longHold, Try)), ends(firstHold+longHold, 5),
			one(admit(firstHold+longHold+time.Hour+s, Pass)))},
		{"hold is over without contact to control", pattern(third, one(event{at: 2 * firstHold, admit: true, noContact: true, want: Refuse}),
			one(admit(3*firstHold, Try)))},
		{"connections ended, servers still run", pattern(third, one(event{at: aliveMargin, alive: 2}), one(admit(s, Pass)))},
		{"announcement was on its way", pattern(third, one(event{at: aliveMargin - ms, alive: 2}), one(admit(s, Refuse)))},
		{"the servers' successors are heard of", pattern(third, one(event{at: 3 * s, alive: 7}), one(admit(3*s, Refuse)))},
	} {
		t.Run(c.name, func(t *testing.T) {
			x := NewTable(10)
			trial := uint64(0)
			for i, e := range c.events {
				now := start.Add(e.at)
				x.Expire(now)
				switch {
				case e.ends != 0:
					x.Ended(poll, e.ends, now)
				case e.alive != 0:
					x.Alive(e.alive, now)
				case e.served:
					x.Served(poll, newID(), now)
				case e.void:
					x.Void(poll, trial)
				case e.admit:
					trial++
					if d := x.Admit(poll, trial, !e.noContact, now); d.Verdict != e.want || (d.Verdict == Refuse) != (d.RetryAfter > 0) {
						t.Fatalf("event %d at %v: %+v, want verdict %d", i, e.at, d, e.want)
					}
				}
			}
			checkCounts(t, x)
		})
	}
}

// checkCounts checks the counters that the fast paths read.
func checkCounts(t *testing.T, x *Table) {
	t.Helper()
	suspects, held := int32(0), int32(0)
	for _, r := range x.records {
		suspects += atLeast(r.endedCount(), 1)
		held += atLeast(r.endedCount(), Limit)
	}
	if x.suspects.Load() != suspects || x.held.Load() != held {
		t.Errorf("counters are %d and %d, want %d and %d", x.suspects.Load(), x.held.Load(), suspects, held)
	}
}

func TestOtherRequestsPass(t *testing.T) {
	x := NewTable(10)
	for i := range uint64(3) {
		x.Ended(Fingerprint{1}, i+1, start)
		x.Ended(Fingerprint{byte(i + 2)}, i+1, start) // a bystander on the same server
	}
	for i := range byte(5) {
		f := Fingerprint{i + 1}
		if d := x.Admit(f, 1, true, start); (d.Verdict == Refuse) != (i == 0) {
			t.Errorf("request %d: %+v", i, d)
		}
	}
}

func TestRefusalsAreLoggedBounded(t *testing.T) {
	x := NewTable(10)
	for i := range uint64(Limit) {
		x.Ended(poll, i+1, start)
	}
	var lines []int
	for i := range 900 {
		now := start.Add(time.Duration(i) * 10 * time.Millisecond)
		if d := x.Admit(poll, 1, false, now); d.Unlogged > 0 {
			lines = append(lines, d.Unlogged)
		}
	}
	if d := x.Admit(poll, 1, false, start.Add(logInterval)); d.Unlogged > 0 {
		lines = append(lines, d.Unlogged)
	}
	if len(lines) != 2 || lines[0] != 1 || lines[1] != 900 {
		t.Errorf("lines count %v, want [1 900]", lines)
	}
}

func TestBounds(t *testing.T) {
	const n = 50
	x := NewTable(n)
	for i := range uint64(Limit) {
		x.Ended(poll, i+1, start)
	}
	for i := range 10 * n {
		f := Fingerprint{2, byte(i), byte(i >> 8)}
		x.Ended(f, 1, start.Add(time.Duration(i)*time.Millisecond))
		x.Ended(f, 2, start.Add(time.Duration(i)*time.Millisecond))
	}
	for i := range uint64(10 * maxMarks) {
		x.Ended(poll, 10+i, start)
	}
	if len(x.records) != n || !x.Held(poll) {
		t.Errorf("%d records, quarantined one kept: %v", len(x.records), x.Held(poll))
	}
	if got := len(x.records[poll].ended); got != maxMarks {
		t.Errorf("%d marks, want %d", got, maxMarks)
	}
	checkCounts(t, x)
	big := NewTable(10 * maxCases)
	for i := range 5 * maxCases {
		big.Ended(Fingerprint{byte(i), byte(i >> 8)}, 1, start)
		big.Ended(Fingerprint{byte(i), byte(i >> 8)}, 2, start)
	}
	for i := range uint64(Limit) {
		big.Ended(poll, i+1, start.Add(-time.Minute))
	}
	cases := big.Published(start)
	if len(cases) != maxCases || Fingerprint(cases[0].Fingerprint) != poll {
		t.Errorf("%d cases published, the quarantined one first: %v", len(cases), Fingerprint(cases[0].Fingerprint) == poll)
	}
}

// TestWhatIsExchanged checks that a single end is reported for a short time only and never
// published, and that a published change has a new revision.
func TestWhatIsExchanged(t *testing.T) {
	x := NewTable(10)
	x.Ended(poll, 1, start)
	if n, revision := len(x.Published(start)), x.Revision(); n != 0 || revision != 0 {
		t.Errorf("one end: %d cases published, revision %d", n, revision)
	}
	if len(x.Reported(start)) != 1 || len(x.Reported(start.Add(2*reportPeriod))) != 0 {
		t.Error("one end is not reported, or for too long")
	}
	x.Ended(poll, 2, start)
	if n, revision := len(x.Published(start.Add(2*reportPeriod))), x.Revision(); n != 1 || revision != 1 {
		t.Errorf("two ends: %d cases published, revision %d", n, revision)
	}
	x.Merge(x.Reported(start), start)
	if x.Revision() != 1 {
		t.Error("a repeated report is a change")
	}
}

func TestInvalidCases(t *testing.T) {
	x := NewTable(10)
	x.Merge([]*fleet.Case{{}, {Fingerprint: []byte("short")}, {Fingerprint: make([]byte, 16)},
		{Fingerprint: make([]byte, 16), Ended: []*fleet.Mark{{Id: 1, Age: 1 << 31}}, Served: &fleet.Mark{}}}, start)
	if len(x.records) != 0 {
		t.Errorf("%d records of empty, malformed or old cases", len(x.records))
	}
}
