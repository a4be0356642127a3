package deployment

import (
	"net/http"
	"testing"

	"github.com/plantainbank/plantainbank/internal/standin/badclient"
	pb "github.com/plantainbank/plantainbank/service/control"
)

// Bounds and load of the tests with uncontrolled clients.
const (
	entryMB        = 224
	controlMB      = 280
	maxFiles       = 700
	entryClients   = 120 // at each of three listeners
	controlClients = 20
	entryBody      = 4 << 20
	controlBody    = 30 << 20
)

// checkUsage fails the test if a process has ended, or has used more memory or descriptors than its bound.
func checkUsage(t *testing.T, d *Deployment, name string, limitMB int) {
	t.Helper()
	u, err := badclient.UsageOf(d.Process(name).PID())
	must(t, err)
	t.Logf("%s: peak %d of %d MB, %d descriptors", name, u.PeakMB, limitMB, u.Files)
	if u.PeakMB > limitMB {
		t.Errorf("%s used %d MB of memory, more than %d MB", name, u.PeakMB, limitMB)
	}
	if u.Files > maxFiles {
		t.Errorf("%s has %d open descriptors, more than %d", name, u.Files, maxFiles)
	}
}

// awaitCompletions waits until every entry process serves a completion.
func awaitCompletions(t *testing.T, d *Deployment) {
	t.Helper()
	await(t, "every host serves a completion", func() bool {
		for i := range d.EntryHosts {
			if code, _ := sendRequest(d, i, readKey(t, d, "training"), "POST", "/v1/completions", `{"model":"slips","prompt":"p","max_tokens":1}`); code != http.StatusOK {
				return false
			}
		}
		return true
	})
}

// TestUnfinishedBodies guards against entry and control processes that run out of memory when clients announce
// or send bodies that do not end or are too large, at each listener that reads bodies.
func TestUnfinishedBodies(t *testing.T) {
	d := startDeployment(t, nil)
	for _, x := range []struct {
		name, addr, path, process   string
		clients, bodyBytes, limitMB int
	}{
		{"callers", d.CallerAddr(0), "/v1/completions", "entry-0", entryClients, entryBody, entryMB},
		{"operators", d.OperatorAddr(0), "/operator/records", "entry-0", entryClients, entryBody, entryMB},
		{"backends", d.AnnounceAddrs()[0], "/announce", "entry-0", entryClients, entryBody, entryMB},
		{"control", d.ControlAddr(0), pb.ControlPathPrefix + "Renew", "control-0", controlClients, controlBody, controlMB},
	} {
		t.Run(x.name, func(t *testing.T) {
			target := badclient.Target{Addr: x.addr, Host: "h", Path: x.path, BodyBytes: x.bodyBytes, Header: map[string]string{
				"Content-Type": "application/protobuf"}}
			closeAll, err := badclient.Send(target, x.clients)
			must(t, err)
			t.Cleanup(closeAll)
			checkUsage(t, d, x.process, x.limitMB)
			awaitCompletions(t, d)
		})
	}
}
