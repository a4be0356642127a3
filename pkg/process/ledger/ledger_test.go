package ledger

import (
	"bytes"
	"encoding/json"
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"github.com/plantainbank/plantainbank/pkg/version/record"
)

func put(kind, name, spec string, replaces uint64) Change {
	return Change{Request: fmt.Sprintf("%s/%s/%d/%s", kind, name, replaces, spec), Replaces: replaces,
		Record: record.Record{Kind: kind, Name: name, Schema: record.NewestSchema(kind), Spec: json.RawMessage(spec)}}
}

func apply[T any](t testing.TB, l *Ledger, c Command) T {
	t.Helper()
	result, ok := l.Apply(c.Encode()).(T)
	if !ok {
		t.Fatalf("command %+v returned a result of another type", c)
	}
	return result
}

func change(t testing.TB, l *Ledger, c Change) ChangeResult {
	t.Helper()
	return apply[ChangeResult](t, l, Command{Change: &c})
}

func TestChanges(t *testing.T) {
	l := New()
	ws := put("workspace", "w", `{"weight":1}`, 0)
	for _, c := range []struct {
		name    string
		change  Change
		refused string
	}{
		{"first", ws, ""},
		{"resend", ws, ""},
		{"same request, other content", Change{Request: ws.Request, Record: ws.Record, Replaces: 7}, RefusedReuse},
		{"second operator at the same revision", put("workspace", "w", `{"weight":2}`, 0), RefusedConflict},
		{"replaces a wrong revision", put("workspace", "w", `{"weight":2}`, 9), RefusedConflict},
		{"replaces", put("workspace", "w", `{"weight":2}`, 1), ""},
		{"unknown field", put("workspace", "x", `{"wieght":2}`, 0), RefusedInvalid},
		{"unknown kind", put("house", "x", `{}`, 0), RefusedInvalid},
		{"key of a missing workspace", put("key", "k", `{"workspace":"none","hash":"`+hash+`"}`, 0), RefusedMissing},
		{"key", put("key", "k", `{"workspace":"w","hash":"`+hash+`"}`, 0), ""},
		{"withdraw a missing record", withdrawal("zone", "z", 1), RefusedMissing},
		{"withdraw", withdrawal("workspace", "w", 2), ""},
		{"key was withdrawn with its workspace", withdrawal("key", "k", 3), RefusedMissing},
	} {
		if r := change(t, l, c.change); r.Refused != c.refused {
			t.Errorf("%s: refused %q (%s), want %q", c.name, r.Refused, r.Message, c.refused)
		}
	}
	if l.Revision != 4 {
		t.Errorf("revision is %d, want 4", l.Revision)
	}
}

const hash = "0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef"

func withdrawal(kind, name string, replaces uint64) Change {
	return Change{Request: "w/" + kind + name, Replaces: replaces, Record: record.Record{Kind: kind, Name: name, Withdrawn: true}}
}

// TestSinceRebuildsTheRecords makes random changes and applies the deltas of
// Since to a copy at random times. The ledger is saved and restored in between.
// The copy must end with the same revisions as the ledger.
func TestSinceRebuildsTheRecords(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := New()
		follower, at := map[string]record.Record{}, uint64(0)
		for i := range rapid.IntRange(1, 40).Draw(t, "changes") {
			name := fmt.Sprint("w", rapid.IntRange(0, 4).Draw(t, "name"))
			current := l.Records[Key("workspace", name)]
			c := put("workspace", name, fmt.Sprintf(`{"weight":%d}`, i+1), current.Revision)
			if rapid.IntRange(0, 2).Draw(t, "withdraw") == 0 {
				c.Record = record.Record{Kind: "workspace", Name: name, Withdrawn: true}
				c.Request += "w"
			}
			l.Apply(Command{Change: &c}.Encode())
			if rapid.Bool().Draw(t, "restart") {
				restored, err := Restore(l.Save())
				if err != nil || !bytes.Equal(restored.Save(), l.Save()) {
					t.Fatalf("restored ledger differs: %v", err)
				}
				l = restored
			}
			if rapid.Bool().Draw(t, "follow") {
				at = follow(l, follower, at)
			}
		}
		follow(l, follower, at)
		if len(follower) != len(l.Records) {
			t.Fatalf("follower has %d records, ledger %d", len(follower), len(l.Records))
		}
		for k, r := range l.Records {
			if follower[k].Revision != r.Revision {
				t.Fatalf("%s: follower at %d, ledger at %d", k, follower[k].Revision, r.Revision)
			}
		}
	})
}

func follow(l *Ledger, into map[string]record.Record, at uint64) uint64 {
	records, full := l.Since(at)
	if full {
		clear(into)
	}
	for _, r := range records {
		if r.Withdrawn {
			delete(into, Key(r.Kind, r.Name))
		} else {
			into[Key(r.Kind, r.Name)] = r
		}
	}
	return l.Revision
}

// ledgerWithStep returns a ledger with an open step of 2 prompts x 2 samples and
// a maximum version lag of 1.
func ledgerWithStep(t testing.TB) *Ledger {
	l := New()
	change(t, l, put("workspace", "w", `{"weight":1}`, 0))
	change(t, l, put("rollout", "r", `{"workspace":"w","pool":"p","age":1,"tokens":8}`, 0))
	o := OpenStep{Rollout: "r", Workspace: "w", Number: 1, Prompts: []string{"a", "b"}, SamplesPerPrompt: 2}
	if r := apply[StepResult](t, l, Command{OpenStep: &o}); r.Refused != "" {
		t.Fatal(r.Message)
	}
	return l
}

func commitSample(slot int, attempt uint32, text string, versions ...uint64) Command {
	s := Sample{Text: text}
	for i, v := range versions {
		s.Spans = append(s.Spans, Span{Version: v, From: uint32(i), To: uint32(i + 1)})
	}
	return Command{CommitSamples: &CommitSamples{Samples: []SlotSample{{SlotRef{"r", 1, slot, attempt}, s}}}}
}

func TestFirstSampleOfSlotIsKept(t *testing.T) {
	l := ledgerWithStep(t)
	for _, c := range []struct {
		name   string
		sample Command
		stored int
	}{
		{"first", commitSample(0, 0, "first", 1), 1},
		{"second", commitSample(0, 0, "second", 1), 0},
		{"no version", commitSample(1, 0, "silent"), 0},
		{"no such slot", commitSample(9, 0, "x", 1), 0},
		{"another attempt", commitSample(1, 3, "x", 1), 0},
	} {
		if n := apply[int](t, l, c.sample); n != c.stored {
			t.Errorf("%s: stored %d", c.name, n)
		}
	}
	assign(t, l)
	apply[int](t, l, commitSample(0, 0, "late", 1))
	if s := l.Steps["r/1"]; s.Slots[0].Sample.Text != "first" || s.Filled() != 1 {
		t.Errorf("slot 0 contains %+v, want the first sample", s.Slots[0].Sample)
	}
}

func assign(t testing.TB, l *Ledger) int {
	return apply[int](t, l, Command{AssignPositions: &AssignPositions{"r", 1}})
}

// TestVersionLagCheckedAtAssignment publishes a version between the commit of a
// sample and its assignment. The lag counts from the version that is newest at
// the assignment, not at the commit.
func TestVersionLagCheckedAtAssignment(t *testing.T) {
	for _, c := range []struct {
		versions []uint64
		newest   uint64
		assigned bool
	}{
		{[]uint64{3}, 3, true},
		{[]uint64{3}, 4, true},
		{[]uint64{3}, 5, false},
		{[]uint64{5, 3}, 5, false},
		{[]uint64{6}, 5, true},
	} {
		l := ledgerWithStep(t)
		apply[int](t, l, commitSample(0, 0, "x", c.versions...))
		apply[uint64](t, l, Command{PublishVersion: &PublishVersion{"r", c.newest}})
		apply[uint64](t, l, Command{PublishVersion: &PublishVersion{"r", 1}}) // an older version is ignored
		if n := assign(t, l); (n == 1) != c.assigned {
			t.Errorf("versions %v at %d: assigned %d", c.versions, c.newest, n)
		}
		s := l.Steps["r/1"]
		if !c.assigned && (s.Slots[0].Sample != nil || s.Slots[0].Attempt != 1 || s.TooOld != 1 || s.Filled() != 0) {
			t.Errorf("versions %v: the slot is not open again: %+v", c.versions, s.Slots[0])
		}
	}
}

// TestPositionsNeverChange commits, assigns, acknowledges and restores in random
// order. Once a slot has a position, neither the position nor its sample changes.
func TestPositionsNeverChange(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := New()
		l.Steps["r/1"] = &Step{OpenStep: OpenStep{Rollout: "r", Number: 1, SamplesPerPrompt: 4}, MaxVersionLag: 1, Slots: make([]Slot, 12)}
		seen := map[uint32]string{}
		for i := range 60 {
			slot := rapid.IntRange(0, 11).Draw(t, "slot")
			switch rapid.IntRange(0, 4).Draw(t, "what") {
			case 0, 1:
				l.Apply(commitSample(slot, l.Steps["r/1"].Slots[slot].Attempt, fmt.Sprint(i), uint64(i/10)).Encode())
			case 2:
				l.Apply(Command{AssignPositions: &AssignPositions{"r", 1}}.Encode())
			case 3:
				l.Apply(Command{Ack: &Ack{"r", 1, uint32(rapid.IntRange(0, 13).Draw(t, "position"))}}.Encode())
			case 4:
				l.Apply(Command{PublishVersion: &PublishVersion{"r", uint64(i / 10)}}.Encode())
				l, _ = Restore(l.Save())
			}
			checkPositions(t, l.Steps["r/1"], seen)
		}
	})
}

func checkPositions(t *rapid.T, s *Step, seen map[uint32]string) {
	for p, i := range s.DeliveryOrder {
		if slices.Contains(s.DeliveryOrder[:p], i) {
			t.Fatalf("slot %d has two positions", i)
		}
		if s.Slots[i].Sample == nil {
			if uint32(p) >= s.Acked {
				t.Fatalf("position %d has no sample before it is acknowledged", p+1)
			}
			continue
		}
		if old, ok := seen[uint32(p)]; ok && old != s.Slots[i].Sample.Text {
			t.Fatalf("position %d changed from %s to %s", p+1, old, s.Slots[i].Sample.Text)
		}
		seen[uint32(p)] = s.Slots[i].Sample.Text
	}
}

func TestOpenStepRefusals(t *testing.T) {
	l := ledgerWithStep(t)
	for _, c := range []struct {
		name    string
		open    OpenStep
		refused string
	}{
		{"again", OpenStep{"r", "w", 1, []string{"a", "b"}, 2, 0}, ""},
		{"other content", OpenStep{"r", "w", 1, []string{"a"}, 2, 0}, RefusedConflict},
		{"another workspace's rollout", OpenStep{"r", "other", 2, []string{"a"}, 2, 0}, RefusedMissing},
		{"no samples", OpenStep{"r", "w", 2, []string{"a"}, 0, 0}, RefusedInvalid},
		{"too many tokens", OpenStep{"r", "w", 2, []string{"a"}, 1, 99}, RefusedInvalid},
		{"no number", OpenStep{"r", "w", 0, []string{"a"}, 1, 0}, RefusedInvalid},
	} {
		if r := apply[StepResult](t, l, Command{OpenStep: &c.open}); r.Refused != c.refused {
			t.Errorf("%s: refused %q (%s), want %q", c.name, r.Refused, r.Message, c.refused)
		}
	}
}

// TestUsageCountsOnce closes windows with cumulative counters that are repeated,
// stale or from a restarted host. Each request must be counted in one window only.
func TestUsageCountsOnce(t *testing.T) {
	l := New()
	sourcesOf := func(tokens map[string]uint64) map[string]map[string]Counters {
		out := map[string]map[string]Counters{}
		for source, n := range tokens {
			out[source] = map[string]Counters{"w": {Requests: n, Tokens: 10 * n}}
		}
		return out
	}
	a1, a2, b1 := SourceName("a", 1), SourceName("a", 2), SourceName("b", 1)
	want := []uint64{5, 0, 4, 1}
	for i, sources := range []map[string]uint64{{a1: 5}, {a1: 5}, {a1: 3, b1: 4}, {a2: 1, b1: 4}} {
		c := CloseWindow{Number: uint64(i), Start: 1, End: int64(i+1) * 1000, Sources: sourcesOf(sources)}
		apply[uint64](t, l, Command{CloseWindow: &c})
		first := l.Usage.Pending[i].Encode()
		apply[uint64](t, l, Command{CloseWindow: &c}) // a resent command changes nothing
		if len(l.Usage.Pending) != i+1 || !bytes.Equal(first, l.Usage.Pending[i].Encode()) {
			t.Fatalf("window %d changed", i)
		}
		var got uint64
		for _, f := range l.Usage.Pending[i].Figures {
			got += f.Requests
		}
		if got != want[i] {
			t.Errorf("window %d counts %d requests, want %d", i, got, want[i])
		}
	}
	apply[uint64](t, l, Command{MarkReported: &MarkReported{Number: 1}}) // out of order
	apply[uint64](t, l, Command{MarkReported: &MarkReported{Number: 0}})
	if l.Usage.Reported != 1 || l.Usage.Pending[0].Number != 1 {
		t.Errorf("reported %d, next is %d", l.Usage.Reported, l.Usage.Pending[0].Number)
	}
}

// BenchmarkSave encodes a state with eight steps of 1,024 samples each. The
// control goroutine is blocked for that time.
func BenchmarkSave(b *testing.B) {
	l := New()
	for i := range uint64(8) {
		s := &Step{OpenStep: OpenStep{Rollout: fmt.Sprint("r", i), Number: 1, SamplesPerPrompt: 8}, Slots: make([]Slot, 1024)}
		for j := range s.Slots {
			s.Slots[j].Sample = &Sample{Text: string(bytes.Repeat([]byte("x"), 4096)), Spans: []Span{{1, 0, 64}}}
		}
		l.Steps[StepKey(s.Rollout, 1)] = s
	}
	for b.Loop() {
		b.SetBytes(int64(len(l.Save())))
	}
}
