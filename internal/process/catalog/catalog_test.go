package catalog

import (
	"testing"

	"github.com/plantainbank/plantainbank/internal/version/routing"
)

func config(version uint64, text string) *Command {
	return &Command{Config: &ConfigChange{Document: []byte(text), Config: &routing.Config{Version: version}}}
}

func apply(t *testing.T, c *Catalog, index uint64, x *Command) bool {
	t.Helper()
	changed, err := c.Apply(index, x.Encode())
	if err != nil {
		t.Fatal(err)
	}
	return changed
}

func TestConfigVersionNeverDecreases(t *testing.T) {
	c := New()
	for i, step := range []struct {
		version  uint64
		text     string
		changed  bool
		document string
	}{
		{5, "five", true, "five"},
		{4, "four", false, "five"},
		{5, "other five", false, "five"},
		{9, "nine", true, "nine"},
	} {
		if got := apply(t, c, uint64(i+1), config(step.version, step.text)); got != step.changed {
			t.Errorf("version %d changed: %v", step.version, got)
		}
		if string(c.Document) != step.document {
			t.Errorf("after version %d the document is %q", step.version, c.Document)
		}
	}
}

func TestWeightsAndZones(t *testing.T) {
	c := New()
	apply(t, c, 1, &Command{Weight: &WeightChange{"m", 3}})
	apply(t, c, 2, &Command{Weight: &WeightChange{"m", 2}})
	old := c.Public.ZonesOut
	apply(t, c, 3, &Command{Zone: &ZoneChange{"a", true}})
	if c.Public.Weights["m"] != 3 || !c.Public.ZonesOut["a"] || old["a"] {
		t.Fatalf("got %+v, former zones %v", c.Public, old)
	}
	apply(t, c, 4, &Command{Zone: &ZoneChange{"a", false}})
	if c.Public.ZonesOut["a"] || c.Revision != 4 {
		t.Fatalf("got %+v", c)
	}
}

func TestInitialVotersAreSetOnce(t *testing.T) {
	c := New()
	apply(t, c, 1, &Command{InitialVoters: []InitialVoter{{Disk: 1}}})
	if apply(t, c, 2, &Command{InitialVoters: []InitialVoter{{Disk: 2}}}) || c.Public.InitialVoters[0].Disk != 1 {
		t.Fatal("the initial voters were replaced")
	}
}

func TestWindowsAreClosedOnce(t *testing.T) {
	c := New()
	apply(t, c, 1, &Command{Close: &WindowClose{7, map[string]uint64{"w": 4}}})
	apply(t, c, 2, &Command{Close: &WindowClose{7, map[string]uint64{"w": 5}}})
	if c.Windows[7].Counts["w"] != 4 {
		t.Fatal("the counts of a closed window changed")
	}
	for i := uint64(8); i < 8+maxWindows; i++ {
		apply(t, c, i, &Command{Close: &WindowClose{i, nil}})
	}
	apply(t, c, 200, &Command{Close: &WindowClose{7, map[string]uint64{"w": 9}}})
	if c.Windows[7] != nil {
		t.Fatal("a window below Floor was closed again")
	}
}

func TestSaveAndRestore(t *testing.T) {
	c := New()
	apply(t, c, 1, config(5, "five"))
	apply(t, c, 2, &Command{Leadership: "h"})
	apply(t, c, 3, &Command{Close: &WindowClose{7, nil}})
	restored, err := Restore(c.Save())
	if err != nil || restored.Token != 2 || restored.Holder != "h" || restored.Windows[7] == nil || restored.Public.Config.Version != 5 {
		t.Fatalf("got %+v, %v", restored, err)
	}
	if _, err := Restore([]byte("{")); err == nil {
		t.Fatal("restored a truncated catalog")
	}
}
