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

func platformLog(t *testing.T, d *Deployment) standin.PlatformLog {
	t.Helper()
	var l standin.PlatformLog
	getJSON(t, "http://"+d.PlatformAddr()+"/log", &l)
	return l
}

// checkOneInCharge fails if an accepted message carries a lower fencing number
// than an earlier one, or if a usage window came with different figures.
func checkOneInCharge(t *testing.T, l standin.PlatformLog) {
	t.Helper()
	checkFences(t, "platform orders", l.Orders)
	checkFences(t, "usage reports", l.Usage)
	windows := map[string]string{}
	end := int64(0)
	for _, x := range l.Usage {
		if old, ok := windows[x.Number]; ok {
			if old != x.Body {
				t.Errorf("window %s came as %s and as %s", x.Number, old, x.Body)
			}
			continue
		}
		windows[x.Number] = x.Body
		var w struct{ Start, End int64 }
		must(t, json.Unmarshal([]byte(x.Body), &w))
		if end != 0 && w.Start != end {
			t.Errorf("window %s starts at %d, the one before ended at %d", x.Number, w.Start, end)
		}
		end = w.End
	}
}

// checkFences fails if a message of an earlier term was accepted after one of a
// later term.
func checkFences(t *testing.T, what string, all []standin.Received) {
	t.Helper()
	highest := 0
	for _, x := range all {
		fence, err := strconv.Atoi(x.Fence)
		must(t, err)
		if x.Accepted && fence < highest {
			t.Errorf("%s: fencing number %d was accepted after %d: %s", what, fence, highest, x.Body)
		}
		highest = max(highest, fence)
	}
}

// TestFrozenLeaderGivesNoOrders freezes and thaws the leader again and again
// while orders and reports flow. The platform ignores fencing numbers, so only
// the lease keeps the old leader from sending.
func TestFrozenLeaderGivesNoOrders(t *testing.T) {
	t.Parallel()
	for _, fences := range []bool{false, true} {
		t.Run("fences="+strconv.FormatBool(fences), func(t *testing.T) {
			t.Parallel()
			d := start(t, func(d *Deployment) { d.Fences = fences })
			postJSON(t, "http://"+d.PlatformAddr()+"/fault", `{"lost":3}`)
			tr := trainer(t, d)
			for round := range uint64(3) {
				must(t, tr.Publish(bounded(t), round+1))
				old := leader(t, d)
				p := d.Process("control-" + strconv.Itoa(old))
				must(t, p.Signal(syscall.SIGSTOP))
				await(t, "another leader", func() bool {
					s := status(d)
					return s != nil && s.Leader != d.ControlAddr(old)
				})
				before := len(platformLog(t, d).Usage)
				await(t, "a report of the new leader", func() bool { return len(platformLog(t, d).Usage) > before })
				must(t, p.Signal(syscall.SIGCONT))
				before = len(platformLog(t, d).Usage)
				await(t, "more reports", func() bool { return len(platformLog(t, d).Usage) > before+1 })
			}
			checkOneInCharge(t, platformLog(t, d))
			for i := range 3 {
				await(t, "the newest weights", func() bool { return engine(t, d, i).Versions["slip-reader"] == 3 })
				checkFences(t, "orders to an engine", engine(t, d, i).Orders)
			}
		})
	}
}

// TestLostDiskThenSecondHost loses a control host's disk, lets it rejoin under
// a new identity, and then loses a second host for good.
func TestLostDiskThenSecondHost(t *testing.T) {
	t.Parallel()
	d := start(t, nil)
	old := leader(t, d)
	lost, second := (old+1)%3, (old+2)%3
	name := "control-" + strconv.Itoa(lost)
	identity, err := os.ReadFile(filepath.Join(d.Dir, "data", name, "identity"))
	must(t, err)
	d.Process(name).Kill()
	must(t, os.RemoveAll(filepath.Join(d.Dir, "data", name)))
	_, err = d.StartControl(lost)
	must(t, err)
	await(t, "the repair to be committed", func() bool {
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
		t.Fatalf("revision %d became %d", revision, all.Revision)
	}
	mustCLI(t, d, "record", "withdraw", "workspace", "proofs")
}

// TestIsolatedControlHostReturns freezes a follower for long while changes go
// on; when it returns, the leader stays and the follower catches up.
func TestIsolatedControlHostReturns(t *testing.T) {
	t.Parallel()
	d := start(t, nil)
	lead := leader(t, d)
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
	await(t, "the follower to catch up", func() bool {
		s := mustStatus(t, d)
		for _, r := range s.Replicas {
			if r.Match < s.Commit {
				return false
			}
		}
		return true
	})
	if s := mustStatus(t, d); s.Term != term || s.Leader != d.ControlAddr(lead) {
		t.Fatalf("term %d of %s became term %d of %s", term, d.ControlAddr(lead), s.Term, s.Leader)
	}
}

// TestRestartAfterHundredsOfChanges stops all control hosts at once, by kill,
// after hundreds of changes and several snapshots.
func TestRestartAfterHundredsOfChanges(t *testing.T) {
	t.Parallel()
	d := start(t, func(d *Deployment) {
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
		for i := range d.Control {
			d.Process("control-" + strconv.Itoa(i)).Kill()
		}
		for i := range d.Control {
			_, err := d.StartControl(i)
			must(t, err)
		}
		leader(t, d)
		if after := mustCLI(t, d, "record", "list", "--json"); after != before {
			t.Fatalf("round %d: the records changed over a restart", round)
		}
	}
	for i := range d.Control {
		d.Process("control-" + strconv.Itoa(i)).Kill()
		mustCLI(t, d, "snapshot", "verify", filepath.Join(d.Dir, "data", "control-"+strconv.Itoa(i)))
	}
}
