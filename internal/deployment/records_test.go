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

// change submits a change through an entry host and returns the status.
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

func workspaceChange(request, name string, replaces int, weight float64) map[string]any {
	return map[string]any{"request": request, "kind": "workspace", "name": name, "schema": 2, "replaces": replaces,
		"spec": map[string]any{"weight": weight}}
}

// TestOperatorsRace submits conflicting changes under equal revisions through
// different hosts while the leader is killed: exactly one holds, every answer
// stays true, and no host ever steps back.
func TestConcurrentOperatorChanges(t *testing.T) {
	t.Parallel()
	d := startDeployment(t, nil)
	stopWatch := watchRevisions(t, d)
	victim := leaderIndex(t, d)
	var wg sync.WaitGroup
	codes := make([]int, 30)
	for i := range codes {
		wg.Go(func() {
			// 10 names, three operators a name, all from revision 0.
			codes[i], _ = submitChange(d, i%3, workspaceChange(fmt.Sprintf("race-%d", i), fmt.Sprintf("race-%d", i/3), 0, float64(1+i%3)))
		})
		if i == 15 {
			d.Process("control-" + strconv.Itoa(victim)).Kill()
		}
	}
	wg.Wait()
	for i, code := range codes {
		// A resend under the same number and content gets the first answer.
		again, text := submitChange(d, (i+1)%3, workspaceChange(fmt.Sprintf("race-%d", i), fmt.Sprintf("race-%d", i/3), 0, float64(1+i%3)))
		if code != http.StatusServiceUnavailable && again != code {
			t.Errorf("change %d: first %d, then %d %s", i, code, again, text)
		}
		codes[i] = again
		if other, text := submitChange(d, i%3, workspaceChange(fmt.Sprintf("race-%d", i), "another", 0, 9)); other != http.StatusConflict || !strings.Contains(text, "request_reused") {
			t.Errorf("number reused with other content: %d %s", other, text)
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
			t.Errorf("name %d: %d changes hold: %v", n, accepted, codes[n*3:n*3+3])
		}
	}
	restartAll(t, d)
	stopWatch()
}

// restartAll kills and restarts all control and entry processes, one at a time.
func restartAll(t *testing.T, d *Deployment) {
	t.Helper()
	for i := range d.ControlHosts {
		d.Process("control-" + strconv.Itoa(i)).Kill()
		restartProcess(t, d, "control-"+strconv.Itoa(i))
		leaderIndex(t, d)
	}
	must(t, d.AwaitReady())
}

// watchRevisions samples the revision in force on every host until the
// returned function is called, which fails the test if one ever fell.
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
					t.Errorf("%s fell from revision %d to %d", h.Host, highest[h.Host], h.Revision)
				}
				highest[h.Host] = h.Revision
			}
		}
	}()
	return func() { close(done); <-ended }
}

// TestAcceptedIsInForceWithinSeconds measures each accepted change until every
// host has it or refuses work; one host is frozen meanwhile.
func TestAcceptedChangeInForceWithinSeconds(t *testing.T) {
	t.Parallel()
	d := startDeployment(t, nil)
	must(t, d.Process("entry-2").Signal(syscall.SIGSTOP))
	for i := range 3 {
		out := strings.Fields(mustCLI(t, d, "record", "withdraw", "workspace", []string{"proofs", "okara-stalls", "multan-tea"}[i]))
		mustCLI(t, d, "record", "wait", out[len(out)-1], "--seconds", "5")
	}
	must(t, d.Process("entry-2").Signal(syscall.SIGCONT))
	await(t, "the thawed host to follow", func() bool {
		s := status(d)
		return s != nil && len(s.Hosts) == d.EntryHosts && allHostsAtRevision(s)
	})
}

// TestRecordsAreRestoredFromAList loses every disk and puts the printed records
// into a new group: keys work again.
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
	await(t, "the key to work again", func() bool {
		code, _ := sendRequest(d, 0, readKey(t, d, "training"), "POST", "/reorder/x", "again")
		return code == http.StatusOK
	})
}

// TestOldAndNewSchemaSideBySide reads records in both forms.
func TestOldAndNewSchemaSideBySide(t *testing.T) {
	t.Parallel()
	d := startDeployment(t, nil)
	if out := mustCLI(t, d, "record", "get", "workspace", "okara-stalls"); !strings.Contains(out, `"share": 1`) {
		t.Errorf("the old form is not kept: %s", out)
	}
	if out := mustCLI(t, d, "record", "get", "workspace", "okara-stalls", "--schema", "2"); !strings.Contains(out, `"weight": 1`) {
		t.Errorf("the new form is not served: %s", out)
	}
	if out, err := d.CLI("record", "get", "workspace", "lahore-stalls", "--schema", "1"); err == nil {
		t.Errorf("a newer record was served in an older form: %s", out)
	}
}
