// Package review checks a routing configuration before it is sent: errors, entries that can
// never match, limits that contradict each other, and what differs from another configuration.
// It does no I/O.
//
// Fields have the names of routing.FieldError, such as routes[0].timeout.
package review

import (
	"time"

	"github.com/plantainbank/plantainbank/internal/version/routing"
)

// Kind is the kind of a finding.
type Kind string

// Kinds of findings.
const (
	// Invalid configurations are refused by control.
	Invalid Kind = "invalid"
	// Unreachable entries never match a request.
	Unreachable Kind = "unreachable"
	// Ambiguous entries match more than they seem to.
	Ambiguous Kind = "ambiguous"
	// Limit is a limit that another limit contradicts.
	Limit Kind = "limit"
	// Ignored configurations are answered with success and have no effect.
	Ignored Kind = "ignored"
)

// Finding is one fault of a configuration.
type Finding struct {
	Kind  Kind   `json:"kind"`
	Field string `json:"field"`
	// Entry is the name of the route, service or workspace, if it has one.
	Entry   string `json:"entry,omitempty"`
	Problem string `json:"problem"`
}

// Site describes the processes that apply the configuration.
type Site struct {
	// Limits are the limits of a process, whatever the configuration says; zero values bound nothing.
	Limits routing.Limits
	// MemoryBytes is the memory of the smallest host, zero if it is not known.
	MemoryBytes int64
	// Reserved lists the path prefixes that entry hosts serve without a route.
	Reserved []string
}

// Findings returns the errors of a configuration or, if it has none, its other faults.
func Findings(c *routing.Config, site Site) []Finding {
	r := &reviewer{cfg: c, site: site}
	if errs := c.Errors(); len(errs) > 0 {
		for _, e := range errs {
			r.add(Invalid, "", e.Field, "%s", e.Problem)
		}
		return r.findings
	}
	r.reachability()
	r.limits()
	return r.findings
}

// Supersedes returns the finding that a configuration with changes has no effect, since its version is not above
// the one in force, or nothing.
func Supersedes(c, inForce *routing.Config, changes []Change) []Finding {
	if c.Version > inForce.Version || c.Version == inForce.Version && len(changes) == 0 {
		return nil
	}
	r := &reviewer{cfg: c}
	r.add(Ignored, "", "version", "is %d, must be above %d, the version in force", c.Version, inForce.Version)
	return r.findings
}

// seconds formats a duration for a finding.
func seconds(d time.Duration) string { return d.Round(time.Millisecond).String() }
