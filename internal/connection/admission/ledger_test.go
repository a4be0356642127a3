package admission

import (
	"fmt"
	"io"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"
	"google.golang.org/protobuf/proto"

	"github.com/plantainbank/plantainbank/service/fleet"
)

// BenchmarkLedger measures what a poll of one of 390 hosts costs the control leader while a service with 64 flows is
// under pressure; hosts report each 0.8 s.
func BenchmarkLedger(b *testing.B) {
	const hosts, flows = 390, 64
	load := &fleet.PlainLoad{Service: "plain", Spanms: 1000, Served: 100, Meanus: 25000, Full: 50, Failed: 20}
	for k := range flows {
		load.Flows = append(load.Flows, &fleet.PlainFlow{Workspace: fmt.Sprint("workspace-", k), Begun: uint32(k)})
	}
	l, now := NewLedger(start), start.Add(time.Hour)
	loads := []*fleet.PlainLoad{load}
	defer func() {
		b.ReportMetric(float64(proto.Size(&fleet.Report{Plain: loads})), "B/report")
		b.ReportMetric(float64(proto.Size(&fleet.News{Pressures: l.Pressures(func(string) int { return 18 }, now)})), "B/answer")
	}()
	for i := range b.N {
		now = now.Add(800 * time.Millisecond / hosts)
		l.Report(fmt.Sprint(i%hosts), loads, now)
		if p := l.Pressures(func(string) int { return 18 }, now); i > 10*hosts && len(p) == 0 {
			b.Fatal("no pressure")
		}
	}
}

// TestLostServers guards against a capacity that is no number, or stays near zero, after all servers were lost, and
// against pressure by a leader that knows no servers yet.
func TestLostServers(t *testing.T) {
	l, now, slots := NewLedger(start), start.Add(time.Hour), 0
	load := &fleet.PlainLoad{Service: "plain", Spanms: 1000, Served: 700, Meanus: 25000, Full: 900, Failed: 900,
		Flows: []*fleet.PlainFlow{{Workspace: "a", Begun: 1600}}}
	var p []*fleet.Pressure
	run := func(d time.Duration) {
		for end := now.Add(d); now.Before(end); now = now.Add(200 * time.Millisecond) {
			l.Report("h", []*fleet.PlainLoad{load}, now)
			p = l.Pressures(func(string) int { return slots }, now)
		}
	}
	if run(5 * time.Second); len(p) != 0 {
		t.Error("pressure without servers")
	}
	slots = 18
	if run(2 * time.Second); len(p) != 1 || len(p[0].Shares) != 1 {
		t.Fatalf("no pressure: %v", p)
	}
	slots, load.Served = 0, 0
	run(60 * time.Second)
	if c := p[0].Capacity; c != 1 {
		t.Errorf("capacity %v after the loss of all servers, want 1", c)
	}
	slots, load.Failed, load.Full, load.Served, load.Free, load.Busy = 18, 0, 0, 18, 18, 5
	run(12 * time.Second)
	if c := p[0].Capacity; !(c > 300) {
		t.Errorf("capacity %v 12 s after the servers are back", c)
	}
}

// BenchmarkAdmit measures what a call costs an entry host while no service is under pressure.
func BenchmarkAdmit(b *testing.B) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	h, now := NewHost(HostConfig{Log: logrus.NewEntry(log), Scope: tally.NoopScope}), start
	for i := range b.N {
		now = now.Add(time.Millisecond)
		h.Admit("plain", Flow{Workspace: names[i%len(names)]}, now)
		h.RecordServed("plain", time.Millisecond, Load{1, 6}, now)
	}
}

var names = []string{"a", "b", "c", "d", "e", "f", "g", "h"}
