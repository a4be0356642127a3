package deployment

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/plantainbank/plantainbank/internal/standin"
	"github.com/plantainbank/plantainbank/pkg/connection/caller"
	"github.com/plantainbank/plantainbank/pkg/process/settings"
	pb "github.com/plantainbank/plantainbank/service/control"
)

// binDir is the directory with the binaries that TestMain builds.
var binDir string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "plantainbank-bin-")
	if err != nil {
		panic(err)
	}
	binDir = dir
	out, err := exec.Command("go", "build", "-o", dir+"/", "../../cmd/plantainbank", "../../cmd/standin").CombinedOutput()
	if err != nil {
		fmt.Fprintf(os.Stderr, "%s", out)
		os.Exit(1)
	}
	code := m.Run()
	os.RemoveAll(dir)
	os.Exit(code)
}

// lastNet is the third byte of the latest deployment's addresses. Every deployment gets
// its own, so that tests can run in parallel.
var lastNet atomic.Int32

// startDeployment starts a small deployment, submits the fixture's records, makes a key
// for workspace "training" and waits until every host serves completions.
func startDeployment(t *testing.T, edit func(d *Deployment)) *Deployment {
	t.Helper()
	addrPrefix := fmt.Sprintf("127.%d.%d", 1+os.Getpid()%250, lastNet.Add(1))
	d, err := New(t.TempDir(), filepath.Join(binDir, "plantainbank"), filepath.Join(binDir, "standin"), "../../_fixtures/rahbar", addrPrefix)
	if err != nil {
		t.Fatal(err)
	}
	d.Pools = []Pool{
		{Name: "slips", Kind: "engine", Count: 3, Capacity: 4, ServiceTime: settings.Duration(5 * time.Millisecond), WarmupRequests: 2},
		{Name: "counter", Kind: "service", Count: 2, Capacity: 8, ServiceTime: settings.Duration(time.Millisecond)},
		{Name: "scorer", Kind: "service", Count: 2, Capacity: 8, ServiceTime: settings.Duration(time.Millisecond)},
	}
	d.EditControl = func(c *settings.Control) {
		c.UsageWindow = settings.Duration(time.Second)
		c.ClaimTimeout = settings.Duration(5 * time.Second)
	}
	if edit != nil {
		edit(d)
	}
	t.Cleanup(func() {
		d.StopAll()
		if t.Failed() {
			dumpLogs(t, d)
		}
	})
	must(t, d.StartAll())
	must(t, d.AwaitReady())
	records, err := filepath.Abs("../../_fixtures/rahbar/records.json")
	must(t, err)
	mustCLI(t, d, "record", "put", records)
	mustCLI(t, d, "key", "new", "training", "training")
	await(t, "every host has the current revision and lists every backend server", func() bool {
		s := status(d)
		return s != nil && len(s.Backends) == d.ServerCount() && len(s.Hosts) == d.EntryHosts && allHostsAtRevision(s)
	})
	await(t, "every host serves a completion", func() bool {
		for i := range d.EntryHosts {
			if code, _ := sendRequest(d, i, readKey(t, d, "training"), "POST", "/v1/completions", `{"model":"slips","prompt":"p","max_tokens":1}`); code != http.StatusOK {
				return false
			}
		}
		return true
	})
	return d
}

// allHostsAtRevision reports whether every host has the current revision in force.
func allHostsAtRevision(s *pb.StatusAnswer) bool {
	for _, h := range s.Hosts {
		if h.Revision != s.Revision {
			return false
		}
	}
	return true
}

func dumpLogs(t *testing.T, d *Deployment) {
	logs, _ := filepath.Glob(filepath.Join(d.Dir, "*.log"))
	for _, f := range logs {
		if data, _ := os.ReadFile(f); len(data) > 0 {
			t.Logf("%s:\n%s", filepath.Base(f), data[max(0, len(data)-1500):])
		}
	}
}

func must(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

func await(t *testing.T, what string, holds func() bool) {
	t.Helper()
	must(t, Await(what, holds))
}

func mustCLI(t *testing.T, d *Deployment, args ...string) string {
	t.Helper()
	out, err := d.CLI(args...)
	must(t, err)
	return out
}

// status returns the status from the first entry host that answers, or nil if none does,
// such as while there is no control leader.
func status(d *Deployment) *pb.StatusAnswer {
	for i := range d.EntryHosts {
		req, _ := http.NewRequest(http.MethodGet, "http://"+d.OperatorAddr(i)+"/operator/status", nil)
		req.Header.Set("Authorization", "Bearer "+OperatorToken)
		res, err := probe.Do(req)
		if err != nil {
			continue
		}
		data, _ := io.ReadAll(res.Body)
		res.Body.Close()
		s := &pb.StatusAnswer{}
		if res.StatusCode == http.StatusOK && json.Unmarshal(data, s) == nil {
			return s
		}
	}
	return nil
}

// mustStatus waits until an entry host answers with the status.
func mustStatus(t *testing.T, d *Deployment) *pb.StatusAnswer {
	t.Helper()
	var s *pb.StatusAnswer
	await(t, "an entry host answers with the status", func() bool { s = status(d); return s != nil })
	return s
}

// leaderIndex waits until there is a control leader and returns its process number.
func leaderIndex(t *testing.T, d *Deployment) int {
	t.Helper()
	found := -1
	await(t, "a control process leads", func() bool {
		s := status(d)
		for i := range d.ControlHosts {
			if s != nil && s.Leader == d.ControlAddr(i) {
				found = i
			}
		}
		return found >= 0
	})
	return found
}

func getJSON(t *testing.T, url string, out any) {
	t.Helper()
	res, err := http.Get(url)
	must(t, err)
	defer res.Body.Close()
	must(t, json.NewDecoder(res.Body).Decode(out))
}

func postJSON(t *testing.T, url, body string) {
	t.Helper()
	res, err := http.Post(url, "application/json", strings.NewReader(body))
	must(t, err)
	res.Body.Close()
}

// readKey returns the key that `key new` wrote to a file under this name.
func readKey(t *testing.T, d *Deployment, name string) string {
	t.Helper()
	data, err := os.ReadFile(filepath.Join(d.Dir, name+".key"))
	must(t, err)
	return string(data)
}

func newTrainer(t *testing.T, d *Deployment) *standin.Trainer {
	t.Helper()
	return &standin.Trainer{Entries: d.CallerAddrs(), Key: readKey(t, d, "training"), Rollout: "slip-reader", Groups: 6, Samples: 8, Tokens: 40}
}

func minuteContext(t *testing.T) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	t.Cleanup(cancel)
	return ctx
}

// checkSamples fails the test unless every slot was delivered exactly once, the version
// spans of every sample cover it without a gap, and no sample is older than age versions.
func checkSamples(t *testing.T, samples []caller.Sample, slots int, age uint64) {
	t.Helper()
	seen := map[uint32]bool{}
	for _, s := range samples {
		if seen[s.Slot] {
			t.Errorf("slot %d was delivered twice", s.Slot)
		}
		seen[s.Slot] = true
		next := uint32(0)
		for _, v := range s.Versions {
			if v.From != next {
				t.Errorf("slot %d: versions %v leave a gap", s.Slot, s.Versions)
			}
			next = v.To
		}
		if next == 0 || s.Age > age {
			t.Errorf("slot %d: versions %v, age %d", s.Slot, s.Versions, s.Age)
		}
	}
	if len(seen) != slots {
		t.Errorf("%d slots were delivered, want %d", len(seen), slots)
	}
}

// sendRequest sends a request to an entry host on a connection of its own. The status is
// 0 if no complete response came; the text is then the error.
func sendRequest(d *Deployment, entry int, key, method, path, body string) (int, string) {
	req, _ := http.NewRequest(method, "http://"+d.CallerAddr(entry)+path, strings.NewReader(body))
	req.Header.Set("Authorization", "Bearer "+key)
	c := &http.Client{Timeout: 20 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	res, err := c.Do(req)
	if err != nil {
		return 0, err.Error()
	}
	defer res.Body.Close()
	data, err := io.ReadAll(res.Body)
	if err != nil {
		return 0, err.Error()
	}
	return res.StatusCode, string(data)
}
