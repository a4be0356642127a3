package deployment

import (
	"net/http"
	"reflect"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/plantainbank/plantainbank/pkg/connection/caller"
	"github.com/plantainbank/plantainbank/pkg/process/settings"
)

// TestKillDuringStep kills one process of each kind in the middle of a step;
// the step completes, each sample once.
func TestKillDuringStep(t *testing.T) {
	t.Parallel()
	d := start(t, nil)
	tr := trainer(t, d)
	ctx := bounded(t)
	must(t, tr.Publish(ctx, 1))
	for i, victim := range []string{"leader", "entry-1", "slips-0", "scorer-0", "entry-0"} {
		number := uint64(i + 1)
		if victim == "leader" {
			victim = []string{"control-0", "control-1", "control-2"}[leader(t, d)]
		}
		must(t, tr.Open(ctx, number))
		await(t, "the step to be under way", func() bool {
			var s struct{ Filled int }
			return tr.Call(ctx, "GET", "/v1/steps/slip-reader/"+string(rune('0'+number)), nil, &s) == nil && s.Filled > 0
		})
		d.Process(victim).Kill()
		samples, err := tr.Collect(ctx, number, 1)
		if err != nil {
			t.Fatalf("after killing %s: %v", victim, err)
		}
		checkWhole(t, samples, tr.Groups*tr.Samples, 1)
		restart(t, d, victim)
	}
}

// restart starts a killed process again.
func restart(t *testing.T, d *Deployment, name string) {
	t.Helper()
	var err error
	switch name {
	case "control-0", "control-1", "control-2":
		_, err = d.StartControl(int(name[8] - '0'))
	case "entry-0", "entry-1", "entry-2":
		_, err = d.StartEntry(int(name[6] - '0'))
		must(t, err)
		await(t, name+" to be ready", func() bool { return d.Ready(int(name[6] - '0')) })
	case "slips-0":
		_, err = d.StartServer(0)
	case "scorer-0":
		_, err = d.StartServer(5)
	}
	must(t, err)
}

// TestNewWeightsDuringStep publishes versions while samples are produced: no
// delivered sample is older than the bound, and spans name what engines said.
func TestNewWeightsDuringStep(t *testing.T) {
	t.Parallel()
	d := start(t, nil)
	postJSON(t, "http://"+d.ServerAddr(1)+"/fault", `{"swaps":2}`) // two swaps of one engine fail
	tr := trainer(t, d)
	tr.Groups = 12
	ctx := bounded(t)
	must(t, tr.Publish(ctx, 1))
	must(t, tr.Open(ctx, 1))
	stop := make(chan struct{})
	go func() {
		for v := uint64(2); ; v++ {
			select {
			case <-stop:
				return
			case <-time.After(1500 * time.Millisecond):
				tr2 := *tr
				_ = tr2.Publish(ctx, v)
			}
		}
	}()
	samples, err := tr.Collect(ctx, 1, 1)
	close(stop)
	must(t, err)
	checkWhole(t, samples, tr.Groups*tr.Samples, 1)
}

// TestTrainerComesBack lets a trainer die between delivery and acknowledgement:
// through another host the same positions hold the same samples, also after the
// leader was killed; acknowledged positions are plainly refused.
func TestTrainerComesBack(t *testing.T) {
	t.Parallel()
	d := start(t, nil)
	tr := trainer(t, d)
	ctx := bounded(t)
	must(t, tr.Open(ctx, 1))
	var first, again caller.Delivery
	path := "/v1/steps/slip-reader/1"
	await(t, "ten samples", func() bool {
		return tr.Call(ctx, "GET", path+"/samples?from=1&most=10&wait=500", nil, &first) == nil && len(first.Samples) == 10
	})
	d.Process("control-" + strconv.Itoa(leader(t, d))).Kill()
	back := *tr
	back.Entries = d.CallerAddrs()[2:]
	must(t, back.Call(ctx, "GET", path+"/samples?from=1&most=10&wait=2000", nil, &again))
	if !reflect.DeepEqual(first.Samples, again.Samples) {
		t.Fatalf("positions changed:\n%+v\n%+v", first.Samples, again.Samples)
	}
	must(t, back.Call(ctx, "POST", path+"/ack", map[string]int{"position": 10}, &struct{}{}))
	if code, body := call(d, 1, tr.Key, "GET", path+"/samples?from=3", ""); code != http.StatusConflict {
		t.Errorf("an acknowledged position was asked for: %d %s", code, body)
	}
	rest, err := back.Collect(ctx, 1, 11)
	must(t, err)
	checkWhole(t, append(first.Samples, rest...), tr.Groups*tr.Samples, 1)
}

// TestZoneWideReclaim takes all engines of a zone away at two seconds' notice,
// during a step and a long stream: the step is whole and the stream complete.
func TestZoneWideReclaim(t *testing.T) {
	t.Parallel()
	d := start(t, func(d *Deployment) { d.Pools[0].Count, d.Pools[0].Cheap = 6, 6 })
	tr := trainer(t, d)
	ctx := bounded(t)
	must(t, tr.Open(ctx, 1))
	stream := slowStream(t, d, tr.Key)
	for _, i := range []int{1, 4} { // the zone "multan"
		postJSON(t, "http://"+d.ServerAddr(i)+"/leave", "")
	}
	time.Sleep(2 * time.Second)
	d.Process("slips-1").Kill()
	d.Process("slips-4").Kill()
	samples, err := tr.Collect(ctx, 1, 1)
	must(t, err)
	checkWhole(t, samples, tr.Groups*tr.Samples, 1)
	if last := <-stream; !strings.Contains(last, "[DONE]") {
		t.Errorf("the stream ended with %q", last)
	}
}

// TestStepProducesEachSampleOnce runs a step without faults and without
// hedging: no sample is generated twice.
func TestStepProducesEachSampleOnce(t *testing.T) {
	t.Parallel()
	d := start(t, func(d *Deployment) {
		d.EditControl = func(c *settings.Control) { c.HedgeFraction = 0 }
	})
	tr := trainer(t, d)
	ctx := bounded(t)
	before := 0
	for i := range 3 {
		before += engine(t, d, i).Started
	}
	must(t, tr.Open(ctx, 1))
	samples, err := tr.Collect(ctx, 1, 1)
	must(t, err)
	checkWhole(t, samples, tr.Groups*tr.Samples, 1)
	after := 0
	for i := range 3 {
		after += engine(t, d, i).Started
	}
	if n := after - before; n != tr.Groups*tr.Samples {
		t.Errorf("%d generations for %d samples", n, tr.Groups*tr.Samples)
	}
}
