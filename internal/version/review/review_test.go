package review

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/plantainbank/plantainbank/internal/version/routing"
)

// clean returns a configuration without findings.
func clean() *routing.Config {
	return &routing.Config{
		Version: 2,
		Routes: []routing.Route{
			{Name: "plain", Host: "h", Prefix: "/plain/", Kind: routing.Idempotent, Timeout: 800 * time.Millisecond,
				TargetLatency: 150 * time.Millisecond, MaxAttempts: 2, Targets: []routing.Target{{Service: "plain", Weight: 1}}},
			{Name: "steps", Host: "h", Prefix: "/steps/", Kind: routing.Batch, Timeout: 5 * time.Second, MaxAttempts: 3,
				Due: 7500 * time.Millisecond, Expiry: 40 * time.Second, Targets: []routing.Target{{Service: "engine", Weight: 1}}},
		},
		Services:   []routing.Service{{Name: "plain"}, {Name: "engine", Slots: 8, MaxConnections: 100, Scale: &routing.Scale{Min: 1, Max: 2}}},
		Workspaces: []routing.Workspace{{Name: "w", Keys: []string{"secret"}}},
		Limits:     routing.Limits{MaxBodyBytes: 32 << 20, ReadTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second},
	}
}

var site = Site{MemoryBytes: 144 << 20, Reserved: []string{"/items/"},
	Limits: routing.Limits{MaxBodyBytes: 32 << 20, MaxHeaderBytes: 32 << 10, IdleTimeout: 20 * time.Second}}

// TestFindings makes one fault at a time and checks that it is found, and that nothing else is.
func TestFindings(t *testing.T) {
	for _, c := range []struct {
		want string
		make func(c *routing.Config, s *Site)
	}{
		{"", func(*routing.Config, *Site) {}},
		{"", func(c *routing.Config, _ *Site) { c.Routes[0].Kind, c.Routes[0].MaxAttempts = routing.Once, 0 }},
		{"", func(c *routing.Config, _ *Site) { c.Workspaces, c.Routes[0].Public = nil, true }},
		{"", func(c *routing.Config, _ *Site) { c.Routes[0].Prefix = "/" }},
		{"ambiguous routes[1].name", func(c *routing.Config, _ *Site) { c.Routes[1].Name, c.Routes[1].Host = "plain", "other" }},
		{"", func(c *routing.Config, _ *Site) { c.Routes[0].Name, c.Routes[1].Name = "", "" }},
		{"", func(c *routing.Config, _ *Site) { c.Routes[0].Prefix = "/steps/longer/" }},
		{"invalid routes[0].timeout", func(c *routing.Config, _ *Site) { c.Routes[0].Timeout = 0 }},
		{"unreachable routes[0].host", func(c *routing.Config, _ *Site) { c.Routes[0].Host = "H" }},
		{"unreachable routes[0].host", func(c *routing.Config, _ *Site) { c.Routes[0].Host = "" }},
		{"unreachable routes[0].prefix", func(c *routing.Config, _ *Site) { c.Routes[0].Prefix = "plain/" }},
		{"unreachable routes[0].prefix", func(c *routing.Config, _ *Site) { c.Routes[0].Prefix = "/plain?x/" }},
		{"unreachable routes[0].prefix", func(c *routing.Config, _ *Site) { c.Routes[0].Prefix = "/items/x/" }},
		{"ambiguous routes[0].prefix", func(c *routing.Config, _ *Site) { c.Routes[0].Prefix = "/plain" }},
		{"ambiguous routes[1].name", func(c *routing.Config, _ *Site) { c.Routes[1].Name = "plain" }},
		{"unreachable routes[0].targets[1].weight", func(c *routing.Config, _ *Site) {
			c.Routes[0].Targets = append(c.Routes[0].Targets, routing.Target{Service: "engine"})
		}},
		{"unreachable services[2].name", func(c *routing.Config, _ *Site) { c.Services = append(c.Services, routing.Service{Name: "x"}) }},
		{"unreachable services[0].name", func(c *routing.Config, _ *Site) { c.Services = append(c.Services, routing.Service{Name: "plain"}) }},
		{"unreachable workspaces[1].keys", func(c *routing.Config, _ *Site) { c.Workspaces = append(c.Workspaces, routing.Workspace{Name: "v"}) }},
		{"unreachable routes[1].public", func(c *routing.Config, _ *Site) { c.Workspaces[0].Keys, c.Routes[0].Public = nil, true }},
		{"unreachable workspaces[0].keys[0]", func(c *routing.Config, _ *Site) { c.Workspaces[0].Keys[0] = "secret " }},
		{"", func(c *routing.Config, _ *Site) { c.Routes[1].Timeout = 8 * time.Second }}, // it does not bound items
		{"limit routes[0].target", func(c *routing.Config, _ *Site) { c.Routes[0].TargetLatency = time.Second }},
		{"limit routes[1].due", func(c *routing.Config, _ *Site) { c.Routes[1].Expiry = 6 * time.Second }},
		{"limit routes[0].attempts", func(c *routing.Config, _ *Site) { c.Routes[0].MaxAttempts = 6 }},
		{"limit routes[0].attempts", func(c *routing.Config, _ *Site) { c.Routes[0].MaxAttempts = 0 }},
		{"limit services[1].slots", func(c *routing.Config, _ *Site) { c.Services[1].MaxConnections = 7 }},
		{"limit services[1].scale.min", func(c *routing.Config, _ *Site) { c.Services[1].Scale.Min = 3 }},
		{"limit limits.body", func(c *routing.Config, _ *Site) { c.Limits.MaxBodyBytes++ }},
		{"limit limits.body", func(_ *routing.Config, s *Site) { s.MemoryBytes = 16 << 20 }},
		{"limit limits.body", func(c *routing.Config, s *Site) { c.Limits.MaxBodyBytes, s.MemoryBytes = 0, 16<<20 }},
		{"limit limits.header", func(c *routing.Config, _ *Site) { c.Limits.MaxHeaderBytes = 64 << 10 }},
		{"limit limits.idle", func(c *routing.Config, _ *Site) { c.Limits.IdleTimeout = time.Minute }},
		{"limit limits.idle", func(c *routing.Config, _ *Site) { c.Limits.IdleTimeout = time.Second }},
	} {
		cfg, s := clean(), site
		c.make(cfg, &s)
		var got []string
		for _, f := range Findings(cfg, s) {
			got = append(got, fmt.Sprintf("%s %s", f.Kind, f.Field))
		}
		if strings.Join(got, ", ") != c.want {
			t.Errorf("got %q, want %q", got, c.want)
		}
	}
}

// TestChanges checks that changes name entries and fields, that the order of entries is none, and that no key is shown.
func TestChanges(t *testing.T) {
	before, after := clean(), clean()
	after.Routes[0], after.Routes[1] = after.Routes[1], after.Routes[0]
	if got := Changes(before, after); got != nil || Supersedes(after, before, got) != nil {
		t.Errorf("the same entries in another order: %v", got)
	}
	after.Routes[1].Timeout = time.Second
	after.Services = append(after.Services[:1], routing.Service{Name: "new"})
	after.Workspaces[0].Keys = []string{"secret2", "secret3"}
	after.Limits.IdleTimeout = 0
	got := Changes(before, after)
	want := `[{routes plain timeout 800ms 1s} {services new   present} {services engine  present } {workspaces w keys 1 2 (2 added, 1 removed)} {limits  idle 15s 0s}]`
	if fmt.Sprint(got) != want {
		t.Errorf("got  %v\nwant %s", got, want)
	}
	if f := Supersedes(after, before, got); len(f) != 1 || f[0].Kind != Ignored {
		t.Errorf("changes under the version in force: %v", f)
	}
	after.Version++
	if f := Supersedes(after, before, got); f != nil {
		t.Errorf("changes under a higher version: %v", f)
	}
}

// TestChangesOfMovedNames guards against changes that pair routes by names which belong to other routes by now.
func TestChangesOfMovedNames(t *testing.T) {
	plain := func(prefix string) routing.Route {
		return routing.Route{Host: "h", Prefix: prefix, Timeout: time.Second, Targets: []routing.Target{{Service: "a", Weight: 1}}}
	}
	config := func(names []string, prefixes ...string) *routing.Config {
		c := &routing.Config{Services: []routing.Service{{Name: "a"}}}
		for i, p := range prefixes {
			r := plain(p)
			r.Name = names[i]
			c.Routes = append(c.Routes, r)
		}
		return c
	}
	for _, c := range []struct {
		name          string
		before, after *routing.Config
		want          string
	}{
		{"by position, the first one removed", config([]string{"r-1", "r-2"}, "/x/", "/y/"), config([]string{"r-1"}, "/y/"), "[{routes h/y/ name r-2 r-1} {routes h/x/  present }]"},
		{"one name for all", config([]string{"r", "r"}, "/x/", "/y/"), config([]string{"r", "r"}, "/x/", "/z/"), "[{routes h/z/   present} {routes h/y/  present }]"},
		{"no names", config([]string{"", ""}, "/x/", "/y/"), config([]string{""}, "/y/"), "[{routes h/x/  present }]"},
		{"renamed", config([]string{"r"}, "/x/"), config([]string{"s"}, "/x/"), "[{routes s name r s}]"},
	} {
		if got := fmt.Sprint(Changes(c.before, c.after)); got != c.want {
			t.Errorf("%s: got %s, want %s", c.name, got, c.want)
		}
	}
}
