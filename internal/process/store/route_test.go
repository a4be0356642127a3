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
