package bodies

import (
	"errors"
	"slices"
	"testing"
	"time"
)

const mb = 1 << 20

// replay is a load against an account, with the names of the transfers that were ended.
type replay struct {
	*Account
	now   time.Time
	ended []string
}

func newReplay(size int64) *replay { return &replay{Account: New(size), now: time.Unix(0, 0)} }

func (r *replay) begin(name string) *Transfer {
	return r.Begin(func() { r.ended = append(r.ended, name) }, r.now)
}

func (r *replay) reserve(t *testing.T, x *Transfer, n int64, fits bool) {
	t.Helper()
	err := r.Reserve(x, n, r.now)
	var full *FullError
	if fits != (err == nil) || err != nil && !errors.As(err, &full) {
		t.Errorf("reserving %d MB gave %v, want success %v", n/mb, err, fits)
	}
}

func (r *replay) wantEnded(t *testing.T, names ...string) {
	t.Helper()
	if !slices.Equal(r.ended, names) {
		t.Errorf("ended %v, want %v", r.ended, names)
	}
}

// TestStoppedBodiesMakeRoom replays bodies that stop short of their end while another one arrives: those that
// stopped first are ended, no more than needed, and those that arrive or are complete are kept.
func TestStoppedBodiesMakeRoom(t *testing.T) {
	r := newReplay(100 * mb)
	complete := r.begin("complete")
	r.reserve(t, complete, 30*mb, true)
	if !r.Arrived(complete) {
		t.Error("a body that arrived counts as ended")
	}
	first := r.begin("first")
	r.reserve(t, first, 30*mb, true)
	r.now = r.now.Add(Patience / 2)
	second := r.begin("second")
	r.reserve(t, second, 30*mb, true)
	r.reserve(t, r.begin("early"), 30*mb, false)
	r.wantEnded(t)
	r.now = r.now.Add(Patience)
	r.Moved(second, Quantum, r.now)
	r.reserve(t, r.begin("late"), 30*mb, true)
	r.wantEnded(t, "first")
	if r.Arrived(first) {
		t.Error("a body that was ended counts as arrived")
	}
	r.reserve(t, first, mb, false)
	if got := r.Used(); got != 90*mb {
		t.Errorf("%d MB in use, want 90", got/mb)
	}
}

// TestDrippingBodyIsSlow replays a client that sends a byte now and then, which must not keep its place.
func TestDrippingBodyIsSlow(t *testing.T) {
	r := newReplay(40 * mb)
	dripping := r.begin("dripping")
	r.reserve(t, dripping, 30*mb, true)
	for range 20 {
		r.now = r.now.Add(Patience / 10)
		r.Moved(dripping, 1, r.now)
	}
	r.reserve(t, r.begin("other"), 30*mb, true)
	r.wantEnded(t, "dripping")
}

// TestNoneEndedInVain guards against transfers that are ended although the room would not be enough.
func TestNoneEndedInVain(t *testing.T) {
	r := newReplay(40 * mb)
	held := r.begin("held")
	r.reserve(t, held, 30*mb, true)
	r.Arrived(held)
	r.reserve(t, r.begin("slow"), 5*mb, true)
	r.now = r.now.Add(2 * Patience)
	r.reserve(t, r.begin("large"), 32*mb, false)
	r.wantEnded(t)
}

// TestSingleBodyAlwaysFits guards against an account so small that the largest request never gets through.
func TestSingleBodyAlwaysFits(t *testing.T) {
	r := newReplay(8 * mb)
	r.reserve(t, r.begin("alone"), 32*mb, true)
	r.now = r.now.Add(2 * Patience)
	r.reserve(t, r.begin("next"), 32*mb, true)
	r.wantEnded(t, "alone")
}

// TestUnreadAnswersMakeRoom replays answers that nobody reads: the one that has waited longest is ended when
// another one is sent, and the last one is kept.
func TestUnreadAnswersMakeRoom(t *testing.T) {
	r := newReplay(10 * mb)
	var all []*Transfer
	for _, name := range []string{"a", "b", "c", "d"} {
		all = append(all, r.Send(4*mb, func() { r.ended = append(r.ended, name) }, r.now))
		r.now = r.now.Add(time.Millisecond)
		if name == "b" {
			r.Moved(all[0], Quantum, r.now.Add(-time.Millisecond/2))
		}
	}
	r.wantEnded(t, "b", "a")
	for _, x := range all {
		r.Release(x)
	}
	if got := r.Used(); got != 0 {
		t.Errorf("%d bytes in use after all were released", got)
	}
	r.Send(20*mb, nil, r.now)
	if got := r.Used(); got != 20*mb {
		t.Errorf("%d MB in use, want the 20 MB of the only answer", got/mb)
	}
}
