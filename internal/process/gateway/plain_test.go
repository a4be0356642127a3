package gateway

import (
	"io"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"github.com/plantainbank/plantainbank/internal/connection/admission"
	"github.com/plantainbank/plantainbank/internal/connection/dial"
	"github.com/plantainbank/plantainbank/pkg/process/settings"
	"github.com/plantainbank/plantainbank/service/fleet"
)

// TestReportsPlainCalls guards against reports in normal operation, and against reports or refusals of a host whose settings
// do not ask for shares.
func TestReportsPlainCalls(t *testing.T) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	for _, share := range []bool{false, true} {
		site := settings.Site{Host: "h", IP: "127.0.0.1", Ports: []int{1, 2}, Bounds: settings.Bounds{Window: settings.Millis(1000)}, Plain: settings.Plain{Share: share}}
		s := New(Config{Site: site, Log: logrus.NewEntry(log), Scope: tally.NoopScope, Client: dial.NewHTTPClient(), Servers: dial.NewClient(100)})
		now := time.Now()
		report := func() int {
			q := &fleet.Report{}
			s.fillReport(q)
			return len(q.Plain)
		}
		s.admission.Admit("plain", admission.Flow{Workspace: "w"}, now)
		s.admission.RecordServed("plain", time.Millisecond, admission.Load{Busy: 1, Slots: 6}, now)
		s.admission.RecordRefused("plain", admission.Load{Busy: 2, Slots: 6}, now) // not as full
		if n := report(); n != 0 {
			t.Errorf("share %v: %d services reported in normal operation", share, n)
		}
		s.admission.RecordRefused("plain", admission.Load{Busy: 6, Slots: 6}, now)
		if n := report(); (n == 1) != share {
			t.Errorf("share %v: %d services reported", share, n)
		}
	}
}
