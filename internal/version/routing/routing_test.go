package routing

import (
	"errors"
	"slices"
	"testing"
	"time"
)

func validConfig() *Config {
	return &Config{
		Version:  3,
		Services: []Service{{Name: "a"}, {Name: "b"}},
		Routes: []Route{
			{Name: "wide", Host: "h", Prefix: "/x/", Timeout: time.Second, Targets: []Target{{"a", 1}}},
			{Name: "narrow", Host: "h", Prefix: "/x/y/", Timeout: time.Second, Targets: []Target{{"a", 0}, {"b", 3}}},
		},
		Workspaces: []Workspace{{Name: "w", Keys: []string{"k"}}},
	}
}

func TestCheckNamesTheField(t *testing.T) {
	for _, c := range []struct {
		name, field string
		mutate      func(c *Config)
	}{
		{"valid", "", func(*Config) {}},
		{"unknown service", "routes[0].service", func(c *Config) { c.Routes[0].Targets[0].Service = "z" }},
		{"duplicate prefix", "routes[1].prefix", func(c *Config) { c.Routes[1].Prefix = "/x/" }},
		{"no weight", "routes[1].weight", func(c *Config) { c.Routes[1].Targets[1].Weight = 0 }},
		{"no target", "routes[0].weight", func(c *Config) { c.Routes[0].Targets = nil }},
		{"no timeout", "routes[0].timeout", func(c *Config) { c.Routes[0].Timeout = 0 }},
		{"shared key", "workspaces[1].keys", func(c *Config) {
			c.Workspaces = append(c.Workspaces, Workspace{Name: "v", Keys: []string{"k"}})
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			cfg := validConfig()
			c.mutate(cfg)
			var e *FieldError
			err := cfg.Check()
			if c.field == "" && err != nil || c.field != "" && (!errors.As(err, &e) || e.Field != c.field) {
				t.Fatalf("got %v, want field %q", err, c.field)
			}
		})
	}
}

// TestErrorsNamesEveryField checks that one error does not hide those after it, and that Check returns the first.
func TestErrorsNamesEveryField(t *testing.T) {
	cfg := validConfig()
	cfg.Services = append(cfg.Services, Service{})
	cfg.Routes[0].Timeout, cfg.Routes[0].Targets[0].Service = 0, "z"
	cfg.Routes[1].Targets[1].Weight = 0
	var got []string
	for _, e := range cfg.Errors() {
		got = append(got, e.Field)
	}
	want := []string{"services[2].name", "routes[0].timeout", "routes[0].service", "routes[1].weight"}
	if !slices.Equal(got, want) || cfg.Check().Error() != cfg.Errors()[0].Error() {
		t.Errorf("errors at %v, want %v; Check returns %v", got, want, cfg.Check())
	}
}

func TestTableFindsTheLongestPrefix(t *testing.T) {
	table := NewTable(validConfig())
	for path, want := range map[string]string{"/x/1": "wide", "/x/y/1": "narrow", "/x/y": "wide", "/z/": ""} {
		r := table.Route("h", path)
		if got := ""; r != nil {
			got = r.Name
			if got != want {
				t.Errorf("%s went to %q, want %q", path, got, want)
			}
		} else if want != "" {
			t.Errorf("%s has no route, want %q", path, want)
		}
	}
	if table.Route("other", "/x/1") != nil || table.WorkspaceByKey("k").Name != "w" || table.WorkspaceByKey("q") != nil {
		t.Error("a lookup by host or key returned the wrong entry")
	}
}

func TestChooseFollowsTheWeights(t *testing.T) {
	r := validConfig().Routes[1]
	for _, draw := range []float64{0, 0.5, 0.999999, 1} {
		if got := r.Choose(draw); got != "b" {
			t.Errorf("draw %v chose %q, a service without weight", draw, got)
		}
	}
}
