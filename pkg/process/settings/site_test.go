package settings

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/plantainbank/plantainbank/pkg/version/strictjson"
)

// TestOpenBytes guards against a bound of the open batches above the memory of the process, which bounds nothing.
func TestOpenBytes(t *testing.T) {
	for _, c := range []struct {
		open, bytes int
		valid       bool
	}{
		{0, 154 << 20 / 3, true},
		{154, 154 << 20, true},
		{1, 1 << 20, true},
		{155, 0, false},
		{-1, 0, false},
	} {
		file := filepath.Join(t.TempDir(), "site.json")
		text := fmt.Sprintf(`{"role":"store","host":"h","zone":"z","ip":"127.0.0.1","ports":[9000,9010],"seeds":["127.0.0.1:8000"],"bootstrap":false,
			"data":"d","memory":154,"tolerate":1,"bounds":{"lease":300,"fenced":true,"grace":8000,"window":1000,"keep":60000},
			"platform":{},"scheduling":{"fair":true,"refuse":true,"open":%d},"logs":{"level":"info"}}`, c.open)
		if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		site, err := ReadSite(file, RoleStore)
		if (err == nil) != c.valid || err != nil && !strings.Contains(err.Error(), "scheduling.open") {
			t.Errorf("open %d: %v", c.open, err)
		} else if err == nil && site.OpenBytes() != c.bytes {
			t.Errorf("open %d: %d bytes, want %d", c.open, site.OpenBytes(), c.bytes)
		}
	}
}

// TestSchedulingPrompts guards against a setting out of range, with which no item or every item would be
// placed by its prompt.
func TestSchedulingPrompts(t *testing.T) {
	for prompts, valid := range map[int]bool{-1: false, 0: true, 768: true, 1_000_000: true, 1_000_001: false} {
		if err := (Scheduling{Prompts: prompts}).check(154); (err == nil) != valid {
			t.Errorf("prompts %d: %v", prompts, err)
		}
	}
}

// TestPlainSettings guards against parts of calls that add more load than was measured, and against settings of the
// build before, which lack the field, being refused.
func TestPlainSettings(t *testing.T) {
	const site = `{"role":"entry","host":"h","zone":"a","ip":"127.0.0.1","callers":"127.0.0.1:1","ready":"127.0.0.1:2","ports":[3,4],
		"seeds":["127.0.0.1:5"],"bootstrap":false,"memory":144,"tolerate":1,"bounds":{"lease":1,"fenced":true,"grace":1,"window":1,"keep":1},
		"platform":{},"logs":{"level":"info"}%s}`
	for plain, want := range map[string]Plain{
		``:                                       {},
		`,"plain":{}`:                            {},
		`,"plain":{"share":true}`:                {Share: true},
		`,"plain":{"share":false,"copies":0.1}`:  {Copies: 0.1},
		`,"plain":{"copies":0.11}`:               {Copies: -1},
		`,"plain":{"copies":-0.01,"share":true}`: {Copies: -1},
		`,"plain":{"copies":"0.1","share":true}`: {Copies: -1},
		`,"plain":{"sahre":true}`:                {Copies: -1},
	} {
		file := filepath.Join(t.TempDir(), "site.json")
		if err := os.WriteFile(file, fmt.Appendf(nil, site, plain), 0o600); err != nil {
			t.Fatal(err)
		}
		c, err := ReadSite(file, RoleEntry)
		if (err != nil) != (want.Copies < 0) || err == nil && c.Plain != want {
			t.Errorf("%s: %+v, %v", plain, c.Plain, err)
		}
	}
}

// TestLimitsOnBodiesAreChecked guards against limits with which a process would refuse everything, or nothing.
func TestLimitsOnBodiesAreChecked(t *testing.T) {
	for field, b := range map[string]Bodies{
		"":                   {MemoryMB: 144, Stall: 1000, Connections: 16},
		"bodies.memory":      {MemoryMB: 145},
		"bodies.stall":       {Stall: 20001},
		"bodies.connections": {Connections: 15},
	} {
		var wrong *strictjson.FieldError
		switch err := b.check(144); {
		case field == "" && err != nil:
			t.Error(err)
		case field != "" && (!errors.As(err, &wrong) || wrong.Field != field):
			t.Errorf("%+v gave %v, want an error about %s", b, err, field)
		}
	}
	l := DefaultEntry().Limits
	l.FlightBytes = l.MaxBodyBytes - 1
	if err := l.check(); err == nil {
		t.Error("bodies in flight below the size of one body are accepted")
	}
}
