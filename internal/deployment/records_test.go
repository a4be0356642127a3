package deployment

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// submitChange submits a record change through an entry host. It returns the HTTP status
// and the body, or 0 and the error.
func submitChange(d *Deployment, entry int, body map[string]any) (int, string) {
	data, _ := json.Marshal(body)
	req, _ := http.NewRequest(http.MethodPost, "http://"+d.OperatorAddr(entry)+"/operator/records", bytes.NewReader(data))
	req.Header.Set("Authorization", "Bearer "+OperatorToken)
	res, err := (&http.Client{Timeout: 20 * time.Second}).Do(req)
	if err != nil {
		return 0, err.Error()
	}
	defer res.Body.Close()
	text, _ := io.ReadAll(res.Body)
	return res.StatusCode, string(text)
}

// workspaceChange returns a change that sets the weight of a workspace.
func workspaceChange(request, name string, replaces int, weight float64) map[string]any {
	return map[string]any{"request": request, "kind": "workspace", "name": name, "schema": 2, "replaces": replaces,
		"spec": map[string]any{"weight": weight}}
}

// TestConcurrentOperatorChanges submits conflicting changes against the same revision
// through different hosts while the leader is killed. Of each conflict exactly one change
// must be accepted, a resend must get the first answer, also after a leader change, and no
// host may go back to an earlier revision.
func TestConcurrentOperatorChanges(t *testing.T) {
	t.Parallel()
	d := startDeployment(t, nil)
	stopWatch := watchRevisions(t, d)
	victim := leaderIndex(t, d)
	var wg sync.WaitGroup
	codes := make([]int, 30)
	for i := range codes {
		wg.Go(func() {
			// 10 names, and for each name three changes that replace revision 0.
			codes[i], _ = submitChange(d, i%3, workspaceChange(fmt.Sprintf("race-%d", i), fmt.Sprintf("race-%d", i/3), 0, float64(1+i%3)))
		})
		if i == 15 {
			d.Process("control-" + strconv.Itoa(victim)).Kill()
		}
	}
	wg.Wait()
	for i, code := range codes {
		// A resend with the same request ID and content gets the first answer.
		again, text := submitChange(d, (i+1)%3, workspaceChange(fmt.Sprintf("race-%d", i), fmt.Sprintf("race-%d", i/3), 0, float64(1+i%3)))
		if code != http.StatusServiceUnavailable && again != code {
			t.Errorf("change %d: first answer %d, answer to the resend %d %s", i, code, again, text)
		}
		codes[i] = again
		if other, text := submitChange(d, i%3, workspaceChange(fmt.Sprintf("race-%d", i), "another", 0, 9)); other != http.StatusConflict || !strings.Contains(text, "request_reused") {
			t.Errorf("request ID reused with other content: got %d %s, want 409 request_reused", other, text)
		}
	}
	for n := range 10 {
		accepted := 0
		for i := range 3 {
			if codes[n*3+i] == http.StatusOK {
				accepted++
			}
		}
		if accepted != 1 {
			t.Errorf("name %d: %d changes were accepted, want 1: %v", n, accepted, codes[n*3:n*3+3])
		}
	}
	restartAll(t, d)
	stopWatch()
}

// restartAll kills and restarts all control processes, one at a time, and waits until
// every entry host is ready.
func restartAll(t *testing.T, d *Deployment) {
	t.Helper()
	for i := range d.ControlHosts {
		d.Process("control-" + strconv.Itoa(i)).Kill()
		restartProcess(t, d, "control-"+strconv.Itoa(i))
		leaderIndex(t, d)
	}
	must(t, d.AwaitReady())
}

// watchRevisions samples the revision in force on every host until the returned function
// is called. It fails the test if a host's revision ever decreases.
func watchRevisions(t *testing.T, d *Deployment) (stop func()) {
	done, ended := make(chan struct{}), make(chan struct{})
	highest := map[string]uint64{}
	go func() {
		defer close(ended)
		for {
			select {
			case <-done:
				return
			case <-time.After(50 * time.Millisecond):
			}
			s := status(d)
			if s == nil {
				continue
			}
			for _, h := range append(s.Hosts, nil) {
				if h == nil {
					continue
				}
				if h.Revision < highest[h.Host] {
					t.Errorf("%s went back from revision %d to %d", h.Host, highest[h.Host], h.Revision)
				}
				highest[h.Host] = h.Revision
			}
		}
	}()
	return func() { close(done); <-ended }
}

// TestAcceptedChangeInForceWithinSeconds checks that an accepted change is in force within
// 5 s although one entry host is stopped: each host has the change or refuses work, since
// the lease of a stopped host expires.
func TestAcceptedChangeInForceWithinSeconds(t *testing.T) {
	t.Parallel()
	d := startDeployment(t, nil)
	must(t, d.Process("entry-2").Signal(syscall.SIGSTOP))
	for i := range 3 {
		out := strings.Fields(mustCLI(t, d, "record", "withdraw", "workspace", []string{"proofs", "okara-stalls", "multan-tea"}[i]))
		mustCLI(t, d, "record", "wait", out[len(out)-1], "--seconds", "5")
	}
	must(t, d.Process("entry-2").Signal(syscall.SIGCONT))
	await(t, "the resumed host has the current revision", func() bool {
		s := status(d)
		return s != nil && len(s.Hosts) == d.EntryHosts && allHostsAtRevision(s)
	})
}

// TestRestoreRecordsFromList deletes the data directories of all control processes and
// submits a saved `record list` to the new, empty group. The keys must work again.
func TestRestoreRecordsFromList(t *testing.T) {
	t.Parallel()
	d := startDeployment(t, nil)
	saved := filepath.Join(d.Dir, "saved.json")
	must(t, os.WriteFile(saved, []byte(mustCLI(t, d, "record", "list", "--json")), 0o600))
	for i := range d.ControlHosts {
		d.Process("control-" + strconv.Itoa(i)).Kill()
	}
	must(t, os.RemoveAll(filepath.Join(d.Dir, "data")))
	for i := range d.EntryHosts {
		d.Process("entry-" + strconv.Itoa(i)).Kill()
	}
	must(t, d.startEach(d.ControlHosts, d.StartControl))
	must(t, d.startEach(d.EntryHosts, d.StartEntry))
	must(t, d.AwaitReady())
	mustCLI(t, d, "record", "put", saved)
	await(t, "the restored key is accepted", func() bool {
		code, _ := sendRequest(d, 0, readKey(t, d, "training"), "POST", "/reorder/x", "again")
		return code == http.StatusOK
	})
}

// TestOldAndNewSchemaSideBySide reads records in schema 1 and schema 2. A record of
// schema 2 must not be served in schema 1.
func TestOldAndNewSchemaSideBySide(t *testing.T) {
	t.Parallel()
	d := startDeployment(t, nil)
	if out := mustCLI(t, d, "record", "get", "workspace", "okara-stalls"); !strings.Contains(out, `"share": 1`) {
		t.Errorf("the record is not served in schema 1, as it was written: %s", out)
	}
	if out := mustCLI(t, d, "record", "get", "workspace", "okara-stalls", "--schema", "2"); !strings.Contains(out, `"weight": 1`) {
		t.Errorf("the record is not served in schema 2: %s", out)
	}
	if out, err := d.CLI("record", "get", "workspace", "lahore-stalls", "--schema", "1"); err == nil {
		t.Errorf("a record of schema 2 was served in schema 1: %s", out)
	}
}
