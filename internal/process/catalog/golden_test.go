package catalog

import (
	"bytes"
	"flag"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/plantainbank/plantainbank/internal/process/roster"
	"github.com/plantainbank/plantainbank/internal/version/routing"
)

// writeGolden names a folder to which TestGoldenFiles writes the files of this build, for testdata/
// once the build has landed.
var writeGolden = flag.String("golden.write", "", "folder to write the files of this build to")

// goldenCommands are commands of each form.
func goldenCommands() []*Command {
	cfg := &routing.Config{Version: 7, Services: []routing.Service{{Name: "proofer"}, {Name: "counter"}},
		Routes: []routing.Route{{Name: "r", Host: "h.example", Prefix: "/a/", Kind: routing.Idempotent, Timeout: 5 * time.Second, TargetLatency: time.Second,
			Targets: []routing.Target{{Service: "proofer", Weight: 90}, {Service: "counter", Weight: 10}}, MaxAttempts: 3}}}
	server := roster.Instance{ID: "i-1", Service: "proofer", Addr: "10.0.0.1:80", Zone: "a", Slots: 4, State: roster.Ready, Born: 1000, Seq: 7,
		ColdUntil: 2000, Weights: map[string]uint64{"m": 3}, Software: "v1", Cheap: true}
	displaced := roster.Instance{ID: "i-2", Service: "proofer", Addr: "10.0.0.2:80", Zone: "b", Slots: 4, State: roster.Gone, Born: 1000, Seq: 9, Unconfirmed: true}
	other := roster.Instance{ID: "w", Service: "counter", Addr: "10.0.0.2:80", Zone: "b", Slots: 1, State: roster.Ready, Born: 3000, Seq: 1}
	return []*Command{
		{Leadership: "control-1", LeadershipAt: 500},
		{Config: &ConfigChange{Document: []byte(`{"version":7}`), Config: cfg}},
		{Zone: &ZoneChange{Zone: "a", Out: true}}, {Zone: &ZoneChange{Zone: "b", Out: true}}, {Zone: &ZoneChange{Zone: "b"}},
		{Weight: &WeightChange{Model: "m", Version: 3}},
		{InitialVoters: []InitialVoter{{Disk: 11, Addr: "10.0.1.1:7640"}, {Disk: 12, Addr: "10.0.1.2:7640"}}},
		{Retire: "store-1"},
		{Close: &WindowClose{Number: 40, Counts: map[string]uint64{"w": 5}}}, {ReportedWindow: 40},
		{Close: &WindowClose{Number: 41, Counts: map[string]uint64{"w": 6}}},
		{Instances: []roster.Instance{server, displaced, other}, Software: []roster.Software{{Service: "proofer", Software: "v1", At: 900}}},
		{Leadership: "control-2", LeadershipAt: 1500},
		{Controls: []ControlHost{{Name: "control-1", Addr: "10.0.2.1:7640", Disk: 21}, {Name: "control-2", Addr: "10.0.2.2:7640", Disk: 22}}},
	}
}

// normalized returns a catalog of a golden file as this build saves it.
func normalized(t *testing.T, data []byte) []byte {
	t.Helper()
	c, err := Restore(data)
	if err != nil {
		t.Fatal(err)
	}
	return c.Save()
}

// TestGoldenFiles reads what builds that have landed wrote to logs and snapshots of the control group: a
// process may come back with another build on its disk, and a group may have members of two builds.
func TestGoldenFiles(t *testing.T) {
	if dir := *writeGolden; dir != "" {
		current, log := New(), []byte(nil)
		for i, c := range goldenCommands() {
			data := c.Encode()
			log = append(append(log, data...), '\n')
			if _, err := current.Apply(uint64(i+1), data); err != nil {
				t.Fatal(err)
			}
		}
		for name, data := range map[string][]byte{"commands": log, "snapshot": current.Save()} {
			if err := os.WriteFile(filepath.Join(dir, name), data, 0o644); err != nil {
				t.Fatal(err)
			}
		}
	}
	dirs, err := filepath.Glob("testdata/golden-*")
	if err != nil || len(dirs) == 0 {
		t.Fatalf("no golden files: %v", err)
	}
	for _, dir := range dirs {
		commands, err := os.ReadFile(filepath.Join(dir, "commands"))
		if err != nil {
			t.Fatal(err)
		}
		snapshot, err := os.ReadFile(filepath.Join(dir, "snapshot"))
		if err != nil {
			t.Fatal(err)
		}
		c := New()
		for i, line := range bytes.Split(bytes.TrimSpace(commands), []byte("\n")) {
			if _, err := c.Apply(uint64(i+1), line); err != nil {
				t.Errorf("%s: command %d: %v", dir, i, err)
			}
		}
		if got, want := c.Save(), normalized(t, snapshot); !bytes.Equal(got, want) {
			t.Errorf("%s: the commands give %s, the snapshot is %s", dir, got, want)
		}
		if c.Public.Config == nil || c.Public.Config.Version != 7 || !c.Public.ZonesOut["a"] || c.Public.ZonesOut["b"] || c.Public.Weights["m"] != 3 ||
			!c.Public.Retiring["store-1"] || len(c.Instances) != 3 || c.Holder != "control-2" || !c.Windows[40].Reported || c.Windows[41].Reported {
			t.Errorf("%s: the commands give %s", dir, c.Save())
		}
	}
}
