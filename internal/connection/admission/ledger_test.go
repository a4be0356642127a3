package admission

import (
	"fmt"
	"testing"
	"time"

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
	for i := range b.N {
		now = now.Add(800 * time.Millisecond / hosts)
		l.Report(fmt.Sprint(i%hosts), loads, now)
		if p := l.Pressures(func(string) int { return 18 }, now); i > 10*hosts && len(p) == 0 {
			b.Fatal("no pressure")
		}
	}
}
