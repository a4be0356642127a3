package deployment

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strconv"
	"syscall"
	"testing"
	"time"

	"github.com/plantainbank/plantainbank/internal/standin"
	"github.com/plantainbank/plantainbank/pkg/process/settings"
)

// platformLog returns the messages that the platform received.
func platformLog(t *testing.T, d *Deployment) standin.PlatformLog {
	t.Helper()
	var l standin.PlatformLog
	getJSON(t, "http://"+d.PlatformAddr()+"/log", &l)
	return l
}

// checkSingleLeader fails the test if the platform accepted a message of a deposed leader,
// if a usage window was reported twice with different contents, or if consecutive usage
// windows leave a gap or overlap.
func checkSingleLeader(t *testing.T, l standin.PlatformLog) {
	t.Helper()
	checkFencingTokens(t, "platform orders", l.Orders)
	checkFencingTokens(t, "usage reports", l.Usage)
	windows := map[string]string{}
	end := int64(0)
	for _, x := range l.Usage {
		if old, ok := windows[x.Number]; ok {
			if old != x.Body {
				t.Errorf("usage window %s was reported as %s and as %s", x.Number, old, x.Body)
			}
			continue
		}
		windows[x.Number] = x.Body
		var w struct{ Start, End int64 }
		must(t, json.Unmarshal([]byte(x.Body), &w))
		if end != 0 && w.Start != end {
			t.Errorf("usage window %s starts at %d, the previous one ended at %d", x.Number, w.Start, end)
		}
		end = w.End
	}
}

// checkFencingTokens fails the test if a message with a lower fencing token was accepted
// after one with a higher token.
func checkFencingTokens(t *testing.T, what string, all []standin.Received) {
	t.Helper()
	highest := 0
	for _, x := range all {
		fence, err := strconv.Atoi(x.Fence)
		must(t, err)
		if x.Accepted && fence < highest {
			t.Errorf("%s: fencing token %d was accepted after %d: %s", what, fence, highest, x.Body)
		}
		highest = max(highest, fence)
	}
}

// TestPausedLeaderSendsNoOrders repeatedly stops and resumes the leader while weights are
// published and usage is reported. It runs with and without fencing: without it, the
// engines and the platform ignore fencing tokens, so that only the lease keeps the old
// leader from sending.
func TestPausedLeaderSendsNoOrders(t *testing.T) {
	t.Parallel()
	for _, fences := range []bool{false, true} {
		t.Run("fences="+strconv.FormatBool(fences), func(t *testing.T) {
			t.Parallel()
			d := startDeployment(t, func(d *Deployment) { d.EnforceFencing = fences })
			postJSON(t, "http://"+d.PlatformAddr()+"/fault", `{"lost":3}`)
			tr := newTrainer(t, d)
			for round := range uint64(3) {
				must(t, tr.Publish(minuteContext(t), round+1))
				old := leaderIndex(t, d)
				p := d.Process("control-" + strconv.Itoa(old))
				must(t, p.Signal(syscall.SIGSTOP))
				await(t, "another control process leads", func() bool {
					s := status(d)
					return s != nil && s.Leader != d.ControlAddr(old)
				})
				before := len(platformLog(t, d).Usage)
				await(t, "the new leader reports usage", func() bool { return len(platformLog(t, d).Usage) > before })
				must(t, p.Signal(syscall.SIGCONT))
				before = len(platformLog(t, d).Usage)
				await(t, "usage is reported after the old leader resumed", func() bool { return len(platformLog(t, d).Usage) > before+1 })
			}
			checkSingleLeader(t, platformLog(t, d))
			for i := range 3 {
				await(t, "the engine has the newest weights", func() bool { return engineStats(t, d, i).Versions["slip-reader"] == 3 })
				checkFencingTokens(t, "orders to an engine", engineStats(t, d, i).Orders)
			}
		})
	}
}

// TestLostDiskThenSecondHost deletes the data directory of a control host, which rejoins
// under a new identity, and then kills a second control host. No accepted change may be
// lost and the group must still take changes.
func TestLostDiskThenSecondHost(t *testing.T) {
	t.Parallel()
	d := startDeployment(t, nil)
	old := leaderIndex(t, d)
	lost, second := (old+1)%3, (old+2)%3
	name := "control-" + strconv.Itoa(lost)
	identity, err := os.ReadFile(filepath.Join(d.Dir, "data", name, "identity"))
	must(t, err)
	d.Process(name).Kill()
	must(t, os.RemoveAll(filepath.Join(d.Dir, "data", name)))
	_, err = d.StartControl(lost)
	must(t, err)
	await(t, "the group has three voters and the lost identity is removed", func() bool {
		s := status(d)
		if s == nil || len(s.Replicas) != 3 {
			return false
		}
		for _, r := range s.Replicas {
			if r.Learner || strconv.FormatUint(r.Id, 16)+"\n" == string(identity) {
				return false
			}
		}
		return true
	})
	revision := mustStatus(t, d).Revision
	d.Process("control-" + strconv.Itoa(second)).Kill()
	out := mustCLI(t, d, "record", "list", "--json")
	var all struct{ Revision uint64 }
	must(t, json.Unmarshal([]byte(out), &all))
	if all.Revision != revision {
		t.Fatalf("revision %d after the second loss, want %d", all.Revision, revision)
	}
	mustCLI(t, d, "record", "withdraw", "workspace", "proofs")
}

// TestIsolatedControlHostReturns stops a follower for longer than every election timeout
// while changes are accepted. When it resumes, it must catch up without deposing the
// leader.
func TestIsolatedControlHostReturns(t *testing.T) {
	t.Parallel()
	d := startDeployment(t, nil)
	lead := leaderIndex(t, d)
	term := mustStatus(t, d).Term
	follower := d.Process("control-" + strconv.Itoa((lead+1)%3))
	must(t, follower.Signal(syscall.SIGSTOP))
	file := filepath.Join(d.Dir, "w.json")
	for i := range 20 {
		must(t, os.WriteFile(file, []byte(`{"kind":"workspace","name":"w`+strconv.Itoa(i)+`","schema":2,"spec":{"weight":1}}`), 0o600))
		mustCLI(t, d, "record", "put", file)
	}
	time.Sleep(4 * time.Second) // longer than every lease and election timeout
	must(t, follower.Signal(syscall.SIGCONT))
	await(t, "every replica has the committed log", func() bool {
		s := mustStatus(t, d)
		for _, r := range s.Replicas {
			if r.Match < s.Commit {
				return false
			}
		}
		return true
	})
	if s := mustStatus(t, d); s.Term != term || s.Leader != d.ControlAddr(lead) {
		t.Fatalf("the leader changed: term %d of %s became term %d of %s", term, d.ControlAddr(lead), s.Term, s.Leader)
	}
}

// TestRestartAfterHundredsOfChanges kills all control hosts after hundreds of changes and
// several snapshots. The records must be the same after a restart and the data
// directories valid.
func TestRestartAfterHundredsOfChanges(t *testing.T) {
	t.Parallel()
	d := startDeployment(t, func(d *Deployment) {
		d.EditControl = func(c *settings.Control) { c.SnapshotEntries = 50 }
	})
	records := `[`
	for i := range 150 {
		records += `{"kind":"workspace","name":"w` + strconv.Itoa(i) + `","schema":1,"spec":{"share":` + strconv.Itoa(i+1) + `}},`
	}
	file := filepath.Join(d.Dir, "many.json")
	must(t, os.WriteFile(file, []byte(records+`]`), 0o600))
	mustCLI(t, d, "record", "put", file)
	mustCLI(t, d, "record", "put", file)
	before := mustCLI(t, d, "record", "list", "--json")
	for round := range 2 {
		for i := range d.ControlHosts {
			d.Process("control-" + strconv.Itoa(i)).Kill()
		}
		for i := range d.ControlHosts {
			_, err := d.StartControl(i)
			must(t, err)
		}
		leaderIndex(t, d)
		if after := mustCLI(t, d, "record", "list", "--json"); after != before {
			t.Fatalf("round %d: the records changed over a restart", round)
		}
	}
	for i := range d.ControlHosts {
		d.Process("control-" + strconv.Itoa(i)).Kill()
		mustCLI(t, d, "snapshot", "verify", filepath.Join(d.Dir, "data", "control-"+strconv.Itoa(i)))
	}
}
