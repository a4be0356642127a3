package catalog

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/plantainbank/plantainbank/internal/version/routing"
)

// testConfig returns a configuration whose routes carry the given numbers.
func testConfig(version uint64, routes []int) *Command {
	c := &routing.Config{Version: version, Services: []routing.Service{{Name: "s", Models: []string{"m"}}}}
	for _, n := range routes {
		c.Routes = append(c.Routes, routing.Route{Name: fmt.Sprintf("r-%d", n), Host: fmt.Sprintf("h-%d", n%7), Prefix: fmt.Sprintf("/%d/", n),
			Kind: routing.Once, Timeout: time.Second, Targets: []routing.Target{{Service: "s", Weight: float64(1 + n%3)}}})
	}
	return &Command{Config: &ConfigChange{Config: c}}
}

// hostCopy is the catalog as a host has it.
type hostCopy struct {
	revision uint64
	public   Public
	// full counts the full copies.
	full int
}

// sharedWork holds what hosts have decoded and applied. Hosts share the states that they have in
// common, since states are never modified.
type sharedWork struct {
	states  map[uint64]Public
	decoded map[*byte]*Difference
}

func (w *sharedWork) decode(data []byte) (*Difference, error) {
	if d := w.decoded[&data[0]]; d != nil {
		return d, nil
	}
	d, err := DecodeDifference(data)
	w.decoded[&data[0]] = d
	return d, err
}

// update brings the copy up to date.
func (h *hostCopy) update(c *Catalog, w *sharedWork) error {
	changes, ok := c.Since(h.revision)
	if !ok && h.revision < c.Revision {
		p, known := w.states[c.Revision]
		if !known {
			var err error
			if p, err = DecodePublic(c.Public.Encode(), false); err != nil {
				return err
			}
			w.states[c.Revision] = p
		}
		h.revision, h.public = c.Revision, p
		h.full++
		return nil
	}
	for _, data := range changes {
		d, err := w.decode(data)
		if err != nil {
			return err
		}
		p, known := w.states[d.To]
		if !known {
			if p, err = d.Apply(h.revision, h.public); err != nil {
				return err
			}
			w.states[d.To] = p
		}
		h.revision, h.public = d.To, p
	}
	return nil
}

// TestHostsFollowTheCatalog replays changes of 10,000 routes, zones and weights at 1,000 hosts that
// miss changes, start anew or follow a new leader. All end with the leader's state, and only hosts
// without a known state get a full copy.
func TestHostsFollowTheCatalog(t *testing.T) {
	const hosts, routes = 1000, 10_000
	r := rand.New(rand.NewPCG(32, 1))
	leader, numbers, next := New(), make([]int, routes), routes
	for i := range numbers {
		numbers[i] = i
	}
	all := make([]hostCopy, hosts)
	work := &sharedWork{map[uint64]Public{}, map[*byte]*Difference{}}
	// floor is the first revision that this leader has had since its start.
	floor, expectFull := uint64(1), 0
	update := func(h *hostCopy) {
		t.Helper()
		if h.revision < floor {
			expectFull++
		}
		if err := h.update(leader, work); err != nil {
			t.Fatal(err)
		}
	}
	for version := uint64(1); version <= 14; version++ {
		x := testConfig(version, numbers)
		switch {
		case version%5 == 2:
			x = &Command{Zone: &ZoneChange{Zone: "a", Out: version%2 == 0}}
		case version%5 == 3:
			x = &Command{Weight: &WeightChange{Model: "m", Version: version}}
		}
		apply(t, leader, version, x)
		from := r.IntN(len(numbers) - 1000)
		switch r.IntN(4) {
		case 0:
			numbers = slices.Delete(slices.Clone(numbers), from, from+1000)
		case 1:
			numbers = slices.Clone(numbers)
			slices.Reverse(numbers[from : from+20])
		default:
			numbers = slices.Clone(numbers)
			for range 500 {
				numbers = append(numbers, next)
				next++
			}
		}
		if version == 12 {
			saved, err := Restore(leader.Save())
			if err != nil {
				t.Fatal(err)
			}
			leader, floor = saved, leader.Revision // a process that restarts has no differences
		}
		for i := range all {
			if r.IntN(3) == 0 {
				continue // misses this change
			}
			if r.IntN(200) == 0 {
				all[i] = hostCopy{full: all[i].full}
			}
			update(&all[i])
		}
	}
	want := leader.Public.Encode()
	full := 0
	for i := range all {
		update(&all[i])
		full += all[i].full
	}
	for i := range all[:20] {
		if !bytes.Equal(all[i].public.Encode(), want) {
			t.Errorf("host %d has another state than the leader", i)
		}
	}
	if full != expectFull || full > 3*hosts {
		t.Errorf("%d full copies, want %d", full, expectFull)
	}
}

// TestDifferenceCostsWhatChanged compares the size of differences with the number of changed routes.
func TestDifferenceCostsWhatChanged(t *testing.T) {
	numbers := make([]int, 3000)
	for i := range numbers {
		numbers[i] = i
	}
	c := New()
	apply(t, c, 1, testConfig(1, numbers))
	scattered := slices.Clone(numbers)
	for i := range 10 {
		scattered[i*290] = 10_000 + i
	}
	for i, x := range []struct {
		name    string
		numbers []int
		most    int
	}{
		{"no route", numbers, 400},
		{"ten routes at the end", append(slices.Clone(numbers), 5000, 5001, 5002, 5003, 5004, 5005, 5006, 5007, 5008, 5009), 1500},
		{"ten routes removed again", numbers, 400},
		{"ten routes replaced", scattered, 2500},
	} {
		apply(t, c, uint64(i+2), testConfig(uint64(i+2), x.numbers))
		changes, ok := c.Since(uint64(i + 1))
		if !ok || len(changes) != 1 || len(changes[0]) > x.most {
			t.Errorf("%s: known %v, %d differences, %d bytes, at most %d", x.name, ok, len(changes), len(slices.Concat(changes...)), x.most)
		}
	}
}

func TestDifferencesAreBounded(t *testing.T) {
	c := New()
	for i := range uint64(3 * maxDifferences) {
		apply(t, c, i+1, &Command{Weight: &WeightChange{Model: "m", Version: i + 1}})
	}
	if n := len(c.differences.all); n != maxDifferences {
		t.Errorf("%d differences kept, want %d", n, maxDifferences)
	}
	if _, ok := c.Since(1); ok {
		t.Error("a difference that was dropped is known")
	}
	r := rand.New(rand.NewPCG(1, 1))
	for i := range uint64(20) {
		x := testConfig(1000+i, nil)
		for k := range 100 {
			name := make([]byte, 1000)
			for at := range name {
				name[at] = byte(' ' + r.IntN(90))
			}
			x.Config.Config.Routes = append(x.Config.Config.Routes, routing.Route{Name: string(name), Prefix: fmt.Sprint(k)})
		}
		apply(t, c, 1000+i, x)
	}
	if n := len(c.differences.all); n == 0 || n >= 20 {
		t.Errorf("%d large differences kept", n)
	}
	if c.differences.bytes > maxDifferenceBytes {
		t.Errorf("%d bytes of differences kept, at most %d", c.differences.bytes, maxDifferenceBytes)
	}
}

// TestDifferenceAppliesToItsRevisionOnly guards against a state joined from two revisions.
func TestDifferenceAppliesToItsRevisionOnly(t *testing.T) {
	before, after := New(), New()
	apply(t, before, 3, testConfig(3, []int{1, 2, 3}))
	apply(t, after, 3, testConfig(3, []int{1, 2, 3}))
	apply(t, after, 4, testConfig(4, []int{1, 3}))
	changes, _ := after.Since(3)
	d, err := DecodeDifference(changes[0])
	if err != nil {
		t.Fatal(err)
	}
	other := &routing.Config{Version: 2}
	short := &routing.Config{Version: 3}
	for _, c := range []struct {
		name     string
		revision uint64
		public   Public
	}{
		{"another revision", 2, before.Public},
		{"no configuration", 3, Public{}},
		{"another version", 3, Public{Config: other}},
		{"fewer routes", 3, Public{Config: short}},
	} {
		var mismatch *MismatchError
		if _, err := d.Apply(c.revision, c.public); !errors.As(err, &mismatch) {
			t.Errorf("%s: got %v, want a *MismatchError", c.name, err)
		}
	}
	got, err := d.Apply(3, before.Public)
	if err != nil || !bytes.Equal(got.Encode(), after.Public.Encode()) {
		t.Errorf("the difference leads to %s, error %v", got.Encode(), err)
	}
}

func FuzzDifference(f *testing.F) {
	c := New()
	if _, err := c.Apply(1, testConfig(1, []int{1, 2, 3}).Encode()); err != nil {
		f.Fatal(err)
	}
	before := c.Public
	if _, err := c.Apply(2, testConfig(2, []int{2, 3, 4}).Encode()); err != nil {
		f.Fatal(err)
	}
	changes, _ := c.Since(1)
	f.Add(changes[0])
	f.Fuzz(func(t *testing.T, data []byte) {
		if d, err := DecodeDifference(data); err == nil {
			_, _ = d.Apply(1, before)
		}
	})
}

// BenchmarkChange measures what a change of one route costs: the leader that applies it, a host that
// gets the difference, and a host that gets a full copy.
func BenchmarkChange(b *testing.B) {
	for _, routes := range []int{1000, 3000, 10_000} {
		numbers := make([]int, routes)
		for i := range numbers {
			numbers[i] = i
		}
		c := New()
		if _, err := c.Apply(1, testConfig(1, numbers).Encode()); err != nil {
			b.Fatal(err)
		}
		before := c.Public
		numbers[routes/2] = routes
		command := testConfig(2, numbers).Encode()
		if _, err := c.Apply(2, command); err != nil {
			b.Fatal(err)
		}
		changes, _ := c.Since(1)
		full := c.Public.Encode()
		b.Run(fmt.Sprintf("command/%d", routes), func(b *testing.B) {
			for b.Loop() {
				var x Command
				if err := json.Unmarshal(command, &x); err != nil {
					b.Fatal(err)
				}
			}
		})
		b.Run(fmt.Sprintf("difference/%d", routes), func(b *testing.B) {
			for b.Loop() {
				var d differences
				d.add(1, 2, before, c.Public)
			}
			b.ReportMetric(float64(len(changes[0])), "bytes")
		})
		b.Run(fmt.Sprintf("apply/%d", routes), func(b *testing.B) {
			for b.Loop() {
				d, err := DecodeDifference(changes[0])
				if err != nil {
					b.Fatal(err)
				}
				if _, err := d.Apply(1, before); err != nil {
					b.Fatal(err)
				}
			}
		})
		b.Run(fmt.Sprintf("copy/%d", routes), func(b *testing.B) {
			for b.Loop() {
				if _, err := DecodePublic(full, false); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(full)), "bytes")
		})
	}
}
