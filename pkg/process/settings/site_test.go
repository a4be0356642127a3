package settings

import (
	"fmt"
	"os"
	"path/filepath"
	"testing"
)

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
