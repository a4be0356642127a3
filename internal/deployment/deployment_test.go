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

var binaries string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "plantainbank-bin-")
	if err != nil {
		panic(err)
	}
	binaries = dir
	out, err := exec.Command("go", "build", "-o", dir+"/", "../../cmd/plantainbank", "../../cmd/standin").CombinedOutput()
	if err != nil {
		fmt.Fprintf(os.Stderr, "%s", out)
		os.Exit(1)
	}
	code := m.Run()
	os.RemoveAll(dir)
	os.Exit(code)
}

var netNumber atomic.Int32

// start starts a small deployment with its records and the key of workspace
// "training".
func start(t *testing.T, edit func(d *Deployment)) *Deployment {
	t.Helper()
	net := fmt.Sprintf("127.%d.%d", 1+os.Getpid()%250, netNumber.Add(1))
	d, err := New(t.TempDir(), filepath.Join(binaries, "plantainbank"), filepath.Join(binaries, "standin"), "../../_fixtures/rahbar", net)
	if err != nil {
		t.Fatal(err)
	}
	d.Pools = []Pool{
		{Name: "slips", Kind: "engine", Count: 3, Bears: 4, Work: settings.Duration(5 * time.Millisecond), Cold: 2},
		{Name: "counter", Kind: "service", Count: 2, Bears: 8, Work: settings.Duration(time.Millisecond)},
		{Name: "scorer", Kind: "service", Count: 2, Bears: 8, Work: settings.Duration(time.Millisecond)},
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
	await(t, "backend servers and the key on every host", func() bool {
		s := status(d)
		return s != nil && len(s.Backends) == d.Servers() && len(s.Hosts) == d.Entries && allAt(s)
	})
	await(t, "a completion through every host", func() bool {
		for i := range d.Entries {
			if code, _ := call(d, i, key(t, d, "training"), "POST", "/v1/completions", `{"model":"slips","prompt":"p","max_tokens":1}`); code != http.StatusOK {
				return false
			}
		}
		return true
	})
	return d
}

func allAt(s *pb.StatusAnswer) bool {
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

// status returns nil while no leader answers.
func status(d *Deployment) *pb.StatusAnswer {
	for i := range d.Entries {
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

// mustStatus waits until a leader answers.
func mustStatus(t *testing.T, d *Deployment) *pb.StatusAnswer {
	t.Helper()
	var s *pb.StatusAnswer
	await(t, "the status", func() bool { s = status(d); return s != nil })
	return s
}

// leader returns the control process that leads.
func leader(t *testing.T, d *Deployment) int {
	t.Helper()
	found := -1
	await(t, "a leader", func() bool {
		s := status(d)
		for i := range d.Control {
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

func key(t *testing.T, d *Deployment, name string) string {
	t.Helper()
	data, err := os.ReadFile(filepath.Join(d.Dir, name+".key"))
	must(t, err)
	return string(data)
}

func trainer(t *testing.T, d *Deployment) *standin.Trainer {
	t.Helper()
	return &standin.Trainer{Entries: d.CallerAddrs(), Key: key(t, d, "training"), Rollout: "slip-reader", Groups: 6, Samples: 8, Tokens: 40}
}

func bounded(t *testing.T) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	t.Cleanup(cancel)
	return ctx
}

// checkWhole fails unless every slot came once and every sample is attributed.
func checkWhole(t *testing.T, samples []caller.Sample, slots int, age uint64) {
	t.Helper()
	seen := map[uint32]bool{}
	for _, s := range samples {
		if seen[s.Slot] {
			t.Errorf("slot %d came twice", s.Slot)
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
		t.Errorf("%d slots came, want %d", len(seen), slots)
	}
}

func call(d *Deployment, entry int, key, method, path, body string) (int, string) {
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
