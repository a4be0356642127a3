package store

import (
	"testing"
	"time"

	"github.com/plantainbank/plantainbank/internal/process/feed"
	"github.com/plantainbank/plantainbank/internal/request/batch"
	"github.com/plantainbank/plantainbank/internal/version/routing"
)

// TestRenamedRouteBoundsItsItems guards against items that fail at each run and are run without end,
// since a configuration has given the route of their batch another name.
func TestRenamedRouteBoundsItsItems(t *testing.T) {
	for _, c := range []struct {
		name  string
		route routing.Route
		found bool
	}{
		{"same name", routing.Route{Name: "r", Host: "h", Prefix: "/x/"}, true},
		{"another name", routing.Route{Name: "s", Host: "h", Prefix: "/x/"}, true},
		{"its name at another host", routing.Route{Name: "r", Host: "other", Prefix: "/x/"}, false},
		{"another prefix and name", routing.Route{Name: "s", Host: "h", Prefix: "/y/"}, false},
	} {
		d := newTestDriver()
		route := c.route
		route.MaxAttempts, route.SingleVersion, route.Timeout = 3, true, time.Second
		d.state = &feed.State{Table: routing.NewTable(&routing.Config{Routes: []routing.Route{route}})}
		b := testBatch("a", batch.Item{ID: "i", Path: "/x/1"})
		b.Host = "h"
		w := &pendingItem{batch: b, item: b.Items[0], failures: 3}
		if (d.routeOf(w) != nil) != c.found || d.exhausted(w) != c.found || d.singleVersion(w) != c.found {
			t.Errorf("%s: route %v, exhausted %v, single version %v", c.name, d.routeOf(w), d.exhausted(w), d.singleVersion(w))
		}
	}
}

// TestItemsFindTheirRouteByHostAndPath guards against items that run at another service, or never, since the name of
// their batch's route belongs to another route by now, to several or to none.
func TestItemsFindTheirRouteByHostAndPath(t *testing.T) {
	route := func(name, host, prefix string, kind routing.Kind, service string) routing.Route {
		return routing.Route{Name: name, Host: host, Prefix: prefix, Kind: kind, Timeout: time.Second, MaxAttempts: 2, Targets: []routing.Target{{Service: service, Weight: 1}}}
	}
	own := batch.Batch{ID: "a", Route: "r-2", Host: "h", Prefix: "/steps/"}
	before := own // stored by a version without prefixes
	before.Prefix = ""
	for _, c := range []struct {
		name   string
		routes []routing.Route
		batch  batch.Batch
		path   string
		want   string // the service, empty if there is no route
	}{
		{"nothing changed", []routing.Route{route("r-2", "h", "/steps/", routing.Batch, "engine")}, own, "/steps/1", "engine"},
		{"names by position", []routing.Route{route("r-1", "h", "/steps/", routing.Batch, "engine"), route("r-2", "h", "/other/", routing.Batch, "other")}, own, "/steps/1", "engine"},
		{"its name at a plain route", []routing.Route{route("r-2", "h", "/x/", routing.Idempotent, "plain"), route("r-3", "h", "/steps/", routing.Batch, "engine")}, own, "/steps/1", "engine"},
		{"one name for all", []routing.Route{route("r", "h", "/x/", routing.Idempotent, "plain"), route("r", "h", "/steps/", routing.Batch, "engine")}, own, "/steps/1", "engine"},
		{"no names", []routing.Route{route("", "h", "/x/", routing.Idempotent, "plain"), route("", "h", "/steps/", routing.Batch, "engine")}, own, "/steps/1", "engine"},
		{"the same path at another host", []routing.Route{route("r-2", "g", "/steps/", routing.Batch, "engine")}, own, "/steps/1", ""},
		{"another service", []routing.Route{route("r-2", "h", "/steps/", routing.Batch, "other")}, own, "/steps/1", "other"},
		{"split, the item behind the longer prefix", []routing.Route{route("r-2", "h", "/steps/", routing.Batch, "engine"), route("r-9", "h", "/steps/1/", routing.Batch, "other")}, own, "/steps/1/2", "other"},
		{"split, the item elsewhere", []routing.Route{route("r-2", "h", "/steps/", routing.Batch, "engine"), route("r-9", "h", "/steps/1/", routing.Batch, "other")}, own, "/steps/3/2", "engine"},
		{"joined with a shorter prefix", []routing.Route{route("r-2", "h", "/", routing.Batch, "other")}, own, "/steps/1", "other"},
		{"taken away, its name elsewhere", []routing.Route{route("r-2", "h", "/x/", routing.Batch, "other")}, own, "/steps/1", ""},
		{"another type", []routing.Route{route("r-2", "h", "/steps/", routing.Idempotent, "engine")}, own, "/steps/1", "engine"},
		{"an item outside the prefix", []routing.Route{route("r-1", "h", "/steps/", routing.Batch, "engine"), route("r-2", "h", "/x/", routing.Batch, "other")}, own, "/x/1", "engine"},
		{"of the version before, names moved", []routing.Route{route("r-1", "h", "/steps/", routing.Batch, "engine"), route("r-2", "h", "/other/", routing.Batch, "other")}, before, "/steps/1", "engine"},
		{"of the version before, taken away, its name elsewhere", []routing.Route{route("r-2", "h", "/x/", routing.Batch, "other")}, before, "/steps/1", ""},
	} {
		d := newTestDriver()
		d.state = &feed.State{Table: routing.NewTable(&routing.Config{Routes: c.routes})}
		got := ""
		if r := d.routeOf(&pendingItem{batch: &c.batch, item: batch.Item{ID: "i", Path: c.path}}); r != nil {
			got = r.Choose(0)
		}
		if got != c.want {
			t.Errorf("%s: the item goes to service %q, want %q", c.name, got, c.want)
		}
	}
}
