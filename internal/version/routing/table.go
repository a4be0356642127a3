package routing

import (
	"slices"
	"strings"
)

// Table indexes a configuration for the lookups of requests. It is immutable.
type Table struct {
	Config *Config
	// byHost holds each host's routes, longest prefix first.
	byHost         map[string][]*Route
	services       map[string]*Service
	workspaceByKey map[string]*Workspace
	// priorities holds the priorities of the workspaces that have one.
	priorities map[string]int
	// shared holds the services of both batch routes and other routes.
	shared map[string]bool
}

// NewTable indexes a configuration that passed Check.
func NewTable(c *Config) *Table {
	t := &Table{Config: c, byHost: map[string][]*Route{}, services: map[string]*Service{}, workspaceByKey: map[string]*Workspace{},
		priorities: map[string]int{}, shared: map[string]bool{}}
	batches, others := map[string]bool{}, map[string]bool{}
	for i := range c.Routes {
		r := &c.Routes[i]
		t.byHost[r.Host] = append(t.byHost[r.Host], r)
		for _, x := range r.Targets {
			if x.Weight > 0 {
				users := others
				if r.Kind == Batch {
					users = batches
				}
				users[x.Service] = true
				t.shared[x.Service] = batches[x.Service] && others[x.Service]
			}
		}
	}
	for _, routes := range t.byHost {
		slices.SortStableFunc(routes, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	for i := range c.Services {
		t.services[c.Services[i].Name] = &c.Services[i]
	}
	for i := range c.Workspaces {
		if p := c.Workspaces[i].Priority; p != nil {
			t.priorities[c.Workspaces[i].Name] = *p
		}
		for _, key := range c.Workspaces[i].Keys {
			t.workspaceByKey[key] = &c.Workspaces[i]
		}
	}
	return t
}

// Route returns the route of a request, or nil.
func (t *Table) Route(host, path string) *Route {
	for _, r := range t.byHost[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// RouteByName returns the route with a name, or nil.
func (t *Table) RouteByName(name string) *Route {
	for i := range t.Config.Routes {
		if t.Config.Routes[i].Name == name {
			return &t.Config.Routes[i]
		}
	}
	return nil
}

// Service returns the service with a name, or nil.
func (t *Table) Service(name string) *Service { return t.services[name] }

// Shared reports whether items of batches and other requests are sent to a service, by different hosts.
func (t *Table) Shared(service string) bool { return t.shared[service] }

// WorkspaceByKey returns the workspace that has a key, or nil.
func (t *Table) WorkspaceByKey(key string) *Workspace { return t.workspaceByKey[key] }

// RequiresKeys reports whether requests need keys: whether there is a workspace.
func (t *Table) RequiresKeys() bool { return len(t.Config.Workspaces) > 0 }

// Choose returns a service with a probability proportional to its weight; draw is a
// random number from 0 to 1. It never returns a service of weight 0.
func (r *Route) Choose(draw float64) string {
	sum := 0.0
	for _, t := range r.Targets {
		sum += t.Weight
	}
	remaining := draw * sum
	for _, t := range r.Targets {
		remaining -= t.Weight
		if remaining < 0 && t.Weight > 0 {
			return t.Service
		}
	}
	for _, t := range slices.Backward(r.Targets) {
		if t.Weight > 0 {
			return t.Service
		}
	}
	return ""
}

// Priority returns the priority of a workspace's requests on a route; that of the workspace goes
// first.
func (t *Table) Priority(route *Route, workspace string) int {
	if p, ok := t.priorities[workspace]; ok {
		return p
	}
	return route.Priority
}
