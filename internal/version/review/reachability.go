package review

import (
	"fmt"
	"strings"

	"github.com/plantainbank/plantainbank/internal/version/routing"
)

// reviewer collects the findings of one configuration.
type reviewer struct {
	cfg      *routing.Config
	site     Site
	findings []Finding
}

func (r *reviewer) add(kind Kind, entry, field, format string, args ...any) {
	r.findings = append(r.findings, Finding{kind, field, entry, fmt.Sprintf(format, args...)})
}

// reachability adds the entries that requests never match.
func (r *reviewer) reachability() {
	keys, public := r.access()
	names := map[string]int{}
	for i := range r.cfg.Routes {
		x := &r.cfg.Routes[i]
		field := fmt.Sprintf("routes[%d]", i)
		r.pattern(field, x)
		for j, t := range x.Targets {
			if t.Weight == 0 {
				r.add(Unreachable, x.Name, fmt.Sprintf("%s.targets[%d].weight", field, j), "is 0: the route never chooses service %q", t.Service)
			}
		}
		if len(r.cfg.Workspaces) > 0 && !keys && !x.Public {
			r.add(Unreachable, x.Name, field+".public", "is false and no workspace has a key: every request is refused")
		}
		if first, ok := names[x.Name]; ok && x.Name != "" {
			r.add(Ambiguous, x.Name, field+".name", "is also the name of routes[%d]: logs do not tell them apart", first)
		} else if !ok {
			names[x.Name] = i
		}
	}
	r.services()
	r.workspaces(public)
}

// pattern adds the faults of a route's host and prefix. A longer prefix cannot hide a shorter one
// completely, so no two routes are compared here.
func (r *reviewer) pattern(field string, x *routing.Route) {
	switch {
	case x.Host == "":
		r.add(Unreachable, x.Name, field+".host", "is empty: a request that names a host does not match")
	case x.Host != strings.ToLower(x.Host):
		// The server converts the hosts of callers' requests to lower case. Only calls of scorers, which
		// are looked up as they were submitted, could match.
		r.add(Unreachable, x.Name, field+".host", "%q has upper-case letters: the hosts of callers' requests are compared in lower case", x.Host)
	}
	switch {
	case x.Prefix != "" && !strings.HasPrefix(x.Prefix, "/"):
		r.add(Unreachable, x.Name, field+".prefix", "%q does not begin with a slash: no path matches", x.Prefix)
	case strings.ContainsAny(x.Prefix, "?# "):
		r.add(Unreachable, x.Name, field+".prefix", "%q has a character that no path contains", x.Prefix)
	case !strings.HasSuffix(x.Prefix, "/"):
		r.add(Ambiguous, x.Name, field+".prefix", "%q does not end with a slash: it also matches %q", x.Prefix, x.Prefix+"x/")
	}
	for _, p := range r.site.Reserved {
		if strings.HasPrefix(x.Prefix, p) {
			r.add(Unreachable, x.Name, field+".prefix", "%q lies behind %q, which is served without a route", x.Prefix, p)
		}
	}
}

// services adds the services that get no requests.
func (r *reviewer) services() {
	named, chosen := map[string]bool{}, map[string]bool{}
	for i := range r.cfg.Routes {
		for _, t := range r.cfg.Routes[i].Targets {
			named[t.Service] = true
			chosen[t.Service] = chosen[t.Service] || t.Weight > 0
		}
	}
	last := map[string]int{}
	for i, s := range r.cfg.Services {
		last[s.Name] = i
	}
	for i, s := range r.cfg.Services {
		field := fmt.Sprintf("services[%d].name", i)
		switch {
		case last[s.Name] != i:
			r.add(Unreachable, s.Name, field, "is also the name of services[%d], which replaces this one", last[s.Name])
		case !named[s.Name]:
			r.add(Unreachable, s.Name, field, "is in no route")
		case !chosen[s.Name]:
			r.add(Unreachable, s.Name, field, "has weight 0 in every route that names it")
		}
	}
}

// access reports whether any workspace has a key, and whether any route is public.
func (r *reviewer) access() (keys, public bool) {
	for _, w := range r.cfg.Workspaces {
		keys = keys || len(w.Keys) > 0
	}
	for i := range r.cfg.Routes {
		public = public || r.cfg.Routes[i].Public
	}
	return keys, public
}

// workspaces adds the workspaces and keys that no request matches.
func (r *reviewer) workspaces(public bool) {
	for i, w := range r.cfg.Workspaces {
		field := fmt.Sprintf("workspaces[%d].keys", i)
		if len(w.Keys) == 0 && !public {
			r.add(Unreachable, w.Name, field, "is empty and no route is public: the workspace can send nothing")
		}
		for j, key := range w.Keys {
			// The server removes white space at the end of a header. A key is a secret, so only its position is named.
			if key == "" || key != strings.TrimRight(key, " \t") {
				r.add(Unreachable, w.Name, fmt.Sprintf("%s[%d]", field, j), "is empty or ends with white space: no request can send it")
			}
		}
	}
}
