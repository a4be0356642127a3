package gateway

import (
	"io"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"github.com/plantainbank/plantainbank/internal/connection/dial"
	"github.com/plantainbank/plantainbank/internal/request/quarantine"
	"github.com/plantainbank/plantainbank/pkg/process/settings"
	"github.com/plantainbank/plantainbank/service/fleet"
)

// TestReportsQuarantine checks that what a host has seen is in its next report, and that many
// requests on one server that ended cause one early report.
func TestReportsQuarantine(t *testing.T) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	site := settings.Site{Host: "h", IP: "127.0.0.1", Ports: []int{1, 2}, Bounds: settings.Bounds{Window: settings.Millis(1000)}}
	s := New(Config{Site: site, Log: logrus.NewEntry(log), Scope: tally.NoopScope, Client: dial.NewHTTPClient(), Servers: dial.NewClient(100)})
	for i := range byte(3) {
		s.quarantine.Ended(quarantine.Fingerprint{i}, 1, time.Now())
		s.reportQuarantine()
	}
	if !s.unreported.Load() {
		t.Error("no report is due")
	}
	for range 2 { // a report may be lost, so the next one has the cases too
		q := &fleet.Report{}
		s.fillReport(q)
		if len(q.Cases) != 3 || s.unreported.Load() {
			t.Errorf("%d cases reported, want 3; still due: %v", len(q.Cases), s.unreported.Load())
		}
	}
	if s.hasContact() {
		t.Error("the host counts as in contact with control")
	}
}
