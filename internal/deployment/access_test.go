package deployment

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/plantainbank/plantainbank/internal/standin"
	"github.com/plantainbank/plantainbank/pkg/process/settings"
)

// effectTimeout is the time within which an operator's change must be enforced. The users
// require "within seconds".
const effectTimeout = 5 * time.Second

// openStream opens a long completion stream. The channel delivers the last line when the
// stream ends.
func openStream(t *testing.T, d *Deployment, entry int, key string) <-chan string {
	t.Helper()
	req, err := http.NewRequest(http.MethodPost, "http://"+d.CallerAddr(entry)+"/v1/completions",
		strings.NewReader(`{"model":"slips","prompt":"long","max_tokens":20000,"stream":true}`))
	must(t, err)
	req.Header.Set("Authorization", "Bearer "+key)
	res, err := http.DefaultClient.Do(req)
	must(t, err)
	if res.StatusCode != http.StatusOK {
		t.Fatalf("the stream was answered with status %d", res.StatusCode)
	}
	ended := make(chan string, 1)
	go func() {
		defer res.Body.Close()
		last := ""
		for sc := bufio.NewScanner(res.Body); sc.Scan(); {
			if sc.Text() != "" {
				last = sc.Text()
			}
		}
		ended <- last
	}()
	return ended
}

// awaitStreamCut fails the test unless the stream ends within effectTimeout, before its
// regular end, with an error that says that the request ran.
func awaitStreamCut(t *testing.T, what string, ended <-chan string) {
	t.Helper()
	select {
	case last := <-ended:
		if !strings.Contains(last, `"ran":"yes"`) || strings.Contains(last, "[DONE]") {
			t.Errorf("%s: the stream ended with %s", what, last)
		}
	case <-time.After(effectTimeout):
		t.Fatalf("%s: the stream has not ended within %s", what, effectTimeout)
	}
}

// TestWithdrawnKeyIsRefused withdraws a key while every host serves a stream with it. The
// streams must end, new requests must be refused, and the key must not appear in logs, in
// stored data or at a backend server.
func TestWithdrawnKeyIsRefused(t *testing.T) {
	t.Parallel()
	d := startDeployment(t, nil)
	k := readKey(t, d, "training")
	var ended []<-chan string
	for i := range d.EntryHosts {
		ended = append(ended, openStream(t, d, i, k))
	}
	mustCLI(t, d, "key", "withdraw", "training")
	for i, e := range ended {
		awaitStreamCut(t, fmt.Sprintf("entry %d", i), e)
		if code, body := sendRequest(d, i, k, "POST", "/reorder/x", "after"); code != http.StatusUnauthorized || !strings.Contains(body, `"ran":"no"`) {
			t.Errorf("entry %d answered %d %s", i, code, body)
		}
	}
	sendMalformed(t, d, k)
	checkKeyNotLeaked(t, d, k)
}

// TestEntryKilledDuringWithdrawal withdraws a key after an entry host and the leader were
// killed. The restarted entry host must never serve the key.
func TestEntryKilledDuringWithdrawal(t *testing.T) {
	t.Parallel()
	d := startDeployment(t, nil)
	k := readKey(t, d, "training")
	ended := openStream(t, d, 1, k)
	d.Process("entry-2").Kill()
	d.Process("control-" + strconv.Itoa(leaderIndex(t, d))).Kill()
	mustCLI(t, d, "key", "withdraw", "training")
	awaitStreamCut(t, "entry 1", ended)
	restartProcess(t, d, "entry-2")
	for i := range d.EntryHosts {
		if code, body := sendRequest(d, i, k, "POST", "/reorder/x", "dead"); code != http.StatusUnauthorized && code != http.StatusServiceUnavailable {
			t.Errorf("entry %d answered %d %s", i, code, body)
		}
	}
	if n := runCounts(t, d)["dead"]; n != 0 {
		t.Errorf("requests with the withdrawn key ran %d times", n)
	}
}

// sendMalformed sends a request that cannot be parsed and that contains a key, and waits
// until the connection is closed. Error logs must not quote such a request.
func sendMalformed(t *testing.T, d *Deployment, key string) {
	t.Helper()
	for _, addr := range []string{d.CallerAddr(0), d.OperatorAddr(0)} {
		c, err := net.Dial("tcp", addr)
		must(t, err)
		fmt.Fprintf(c, "POST /x HTTP/1.1\r\nAuthorization: Bearer %s\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nxy", key)
		io.Copy(io.Discard, c)
		c.Close()
	}
}

// TestEntryHostWithoutControlRefuses stops all control processes, so that the entry hosts
// lose their leases. Streams must end, and new requests must be refused without being run.
// Service must resume with the control processes.
func TestEntryHostWithoutControlRefuses(t *testing.T) {
	t.Parallel()
	d := startDeployment(t, nil)
	k := readKey(t, d, "training")
	ended := openStream(t, d, 0, k)
	for i := range d.ControlHosts {
		must(t, d.Process("control-"+strconv.Itoa(i)).Signal(syscall.SIGSTOP))
	}
	awaitStreamCut(t, "entry host without control", ended)
	for _, path := range []string{"/reorder/cut", "/catalogue/cut"} {
		if code, body := sendRequest(d, 0, k, "POST", path, "cut-"+path); code != http.StatusServiceUnavailable || !strings.Contains(body, `"ran":"no"`) {
			t.Errorf("%s: %d %s", path, code, body)
		}
	}
	for i := range d.ControlHosts {
		must(t, d.Process("control-"+strconv.Itoa(i)).Signal(syscall.SIGCONT))
	}
	await(t, "requests are served again", func() bool {
		code, _ := sendRequest(d, 0, k, "POST", "/reorder/again", "again")
		return code == http.StatusOK
	})
	for body, n := range runCounts(t, d) {
		if strings.HasPrefix(body, "cut-") {
			t.Errorf("%q was refused as not run but ran %d times", body, n)
		}
	}
}

// runCounts returns how often the service servers ran each request body.
func runCounts(t *testing.T, d *Deployment) map[string]int {
	t.Helper()
	out := map[string]int{}
	for i := range 2 {
		var one map[string]int
		getJSON(t, "http://"+d.ServerAddr(3+i)+"/ran", &one)
		for k, v := range one {
			out[k] += v
		}
	}
	return out
}

// checkKeyNotLeaked fails the test if a backend server received a key, or if a log or a
// file in a data directory contains this key.
func checkKeyNotLeaked(t *testing.T, d *Deployment, key string) {
	t.Helper()
	for i := range d.ServerCount() {
		var s standin.Stats
		getJSON(t, "http://"+d.ServerAddr(i)+"/stats", &s)
		if s.KeyLeaks > 0 {
			t.Errorf("backend server %d received a key in %d requests", i, s.KeyLeaks)
		}
	}
	files, _ := filepath.Glob(filepath.Join(d.Dir, "*.log"))
	segments, _ := filepath.Glob(filepath.Join(d.Dir, "data", "*", "*"))
	for _, f := range append(files, segments...) {
		if data, err := os.ReadFile(f); err == nil && strings.Contains(string(data), key) {
			t.Errorf("%s contains the key", f)
		}
	}
}

// TestRecreatedWorkspaceInheritsNothing withdraws a workspace and creates it again under
// the same name. The keys of the old workspace must not work.
func TestRecreatedWorkspaceInheritsNothing(t *testing.T) {
	t.Parallel()
	d := startDeployment(t, nil)
	k := readKey(t, d, "training")
	mustCLI(t, d, "record", "withdraw", "workspace", "training")
	file := filepath.Join(d.Dir, "again.json")
	must(t, os.WriteFile(file, []byte(`{"kind":"workspace","name":"training","schema":2,"spec":{"weight":1}}`), 0o600))
	out := strings.Fields(mustCLI(t, d, "record", "put", file))
	mustCLI(t, d, "record", "wait", out[len(out)-1])
	for i := range d.EntryHosts {
		if code, body := sendRequest(d, i, k, "POST", "/reorder/x", "old"); code != http.StatusUnauthorized {
			t.Errorf("entry %d answered %d %s to the old key", i, code, body)
		}
	}
	if n := runCounts(t, d)["old"]; n != 0 {
		t.Errorf("requests with the old key ran %d times", n)
	}
}

// TestZoneOutAndBack takes a zone out of service under load and kills a control follower
// meanwhile. After effectTimeout no backend server in the zone may get new requests. Once
// the zone is back in service, they must get requests again.
func TestZoneOutAndBack(t *testing.T) {
	t.Parallel()
	d := startDeployment(t, nil)
	k := readKey(t, d, "training")
	stop := startLoad(d, k)
	defer stop()
	await(t, "an engine in the zone gets requests", func() bool { return engineStats(t, d, 1).Started > 0 })
	putZoneState(t, d, "multan", "out")
	d.Process("control-" + strconv.Itoa((leaderIndex(t, d)+1)%3)).Kill() // a second fault while the zone is out
	time.Sleep(effectTimeout)
	before := engineStats(t, d, 1).Started
	time.Sleep(2 * time.Second)
	if after := engineStats(t, d, 1).Started; after != before {
		t.Errorf("%d requests started in a zone that is out of service", after-before)
	}
	putZoneState(t, d, "multan", "in")
	await(t, "an engine in the zone gets requests again", func() bool { return engineStats(t, d, 1).Started > before })
}

func engineStats(t *testing.T, d *Deployment, i int) standin.Stats {
	t.Helper()
	var s standin.Stats
	await(t, "the engine returns its stats", func() bool {
		res, err := probe.Get("http://" + d.ServerAddr(i) + "/stats")
		if err != nil {
			return false
		}
		defer res.Body.Close()
		return json.NewDecoder(res.Body).Decode(&s) == nil
	})
	return s
}

func putZoneState(t *testing.T, d *Deployment, name, state string) {
	t.Helper()
	file := filepath.Join(d.Dir, "zone.json")
	must(t, os.WriteFile(file, fmt.Appendf(nil, `{"kind":"zone","name":%q,"schema":2,"spec":{"state":%q}}`, name, state), 0o600))
	mustCLI(t, d, "record", "put", file)
}

// startLoad sends short completions through all hosts from 24 concurrent callers until stop
// is called.
func startLoad(d *Deployment, key string) (stop func()) {
	done := make(chan struct{})
	var wg sync.WaitGroup
	for i := range 24 {
		wg.Go(func() {
			for {
				select {
				case <-done:
					return
				default:
					sendRequest(d, i%d.EntryHosts, key, "POST", "/v1/completions", `{"model":"slips","prompt":"p","max_tokens":5}`)
				}
			}
		})
	}
	return func() { close(done); wg.Wait() }
}

// TestLeavingServerGetsNoNewWork lets an engine announce that it is leaving. After
// effectTimeout it must get no new requests and have none in flight.
func TestLeavingServerGetsNoNewWork(t *testing.T) {
	t.Parallel()
	d := startDeployment(t, nil)
	stop := startLoad(d, readKey(t, d, "training"))
	defer stop()
	await(t, "the engine gets requests", func() bool { return engineStats(t, d, 0).Started > 0 })
	postJSON(t, "http://"+d.ServerAddr(0)+"/leave", "")
	time.Sleep(effectTimeout)
	before := engineStats(t, d, 0)
	time.Sleep(2 * time.Second)
	if after := engineStats(t, d, 0); after.Started != before.Started || after.Running != 0 {
		t.Errorf("%d requests started at a leaving server, %d are in flight", after.Started-before.Started, after.Running)
	}
}

// TestColdEnginesAreNotOverloaded sends load through all hosts to engines that start cold,
// turn cold again or restart, and restarts an entry host. No engine may get more concurrent
// requests than its capacity at that moment.
func TestColdEnginesAreNotOverloaded(t *testing.T) {
	t.Parallel()
	d := startDeployment(t, func(d *Deployment) {
		d.Pools[0].WarmupRequests, d.Pools[0].AnnounceDelay = 30, settings.Duration(900*time.Millisecond)
	})
	stop := startLoad(d, readKey(t, d, "training"))
	defer stop()
	await(t, "the engine has served 20 requests", func() bool { return engineStats(t, d, 2).Served > 20 })
	d.Process("entry-1").Kill()
	restartProcess(t, d, "entry-1")
	postJSON(t, "http://"+d.ServerAddr(1)+"/fault", `{"cold":true}`)
	for round := range 6 {
		d.Process("slips-0").Kill()
		restartProcess(t, d, "slips-0")
		await(t, "the restarted engine has served 40 requests", func() bool { return engineStats(t, d, 0).Served > 40 })
		for _, i := range []int{0, 2} {
			if s := engineStats(t, d, i); s.OverCapacity > 0 {
				t.Errorf("round %d: engine %d got %d requests beyond its capacity, peak %d", round, i, s.OverCapacity, s.Peak)
			}
		}
	}
}
