package routing

import (
	"slices"
	"time"
)

// Kind is the kind of a route: whether its requests may be repeated, and when they run.
type Kind string

// Kinds of route.
const (
	// Idempotent requests may run more than once.
	Idempotent Kind = "idempotent"
	// Once requests run at most once.
	Once Kind = "once"
	// Batch routes accept batches whose items run later.
	Batch Kind = "batch"
)

// Config is one version of the routing configuration.
type Config struct {
	// Version never decreases on a host.
	Version    uint64      `json:"version"`
	Routes     []Route     `json:"routes"`
	Services   []Service   `json:"services"`
	Workspaces []Workspace `json:"workspaces,omitempty"`
	Limits     Limits      `json:"limits"`
}

// RequiresSingleVersions reports whether any route requires that one weight version produces
// all of a result.
func (c *Config) RequiresSingleVersions() bool {
	return c != nil && slices.ContainsFunc(c.Routes, func(r Route) bool { return r.SingleVersion })
}

// Route sends the requests of one host and path prefix to services.
type Route struct {
	Name string `json:"name"`
	Host string `json:"host"`
	// Prefix begins and ends with a slash.
	Prefix string `json:"prefix"`
	Kind   Kind   `json:"kind"`
	// Timeout is the longest time until a caller gets an answer.
	Timeout time.Duration `json:"timeout"`
	// TargetLatency is the time within which an answer has its full value.
	TargetLatency time.Duration `json:"target,omitempty"`
	// Priority is lower for more urgent requests; 0 is the most urgent.
	Priority int `json:"priority,omitempty"`
	// Targets are the services of the route; the sum of their weights is above 0.
	Targets []Target `json:"targets"`
	// MaxAttempts is the maximum number of backend servers that a request is sent to.
	MaxAttempts int `json:"attempts"`
	// Due is the time from the submission of a batch until its results are due.
	Due time.Duration `json:"due,omitempty"`
	// Expiry is the time from the submission of a batch until its items may be
	// abandoned.
	Expiry time.Duration `json:"expiry,omitempty"`
	// SingleVersion requires that one weight version produces all of a result.
	SingleVersion bool `json:"single,omitempty"`
	// Public routes require no key.
	Public bool `json:"public,omitempty"`
	// Sticky routes have requests that share prompt prefixes.
	Sticky bool `json:"sticky,omitempty"`
	// Resumable streams may continue at another backend server.
	Resumable bool `json:"resumable,omitempty"`
	// Streaming answers are forwarded event by event.
	Streaming bool `json:"streaming,omitempty"`
}

// Target is a service of a route and its weight.
type Target struct {
	Service string  `json:"service"`
	Weight  float64 `json:"weight"`
}

// Service is a pool of backend servers.
type Service struct {
	Name string `json:"name"`
	// HealthPath is the path of the health check.
	HealthPath string `json:"health,omitempty"`
	// MaxConnections is the maximum number of connections that one backend server
	// accepts from all clients together.
	MaxConnections int `json:"connections,omitempty"`
	// ColdStart is how long a backend server is cold after its start.
	ColdStart time.Duration `json:"cold,omitempty"`
	// ColdRate is the requests per second that a cold backend server can handle.
	ColdRate float64 `json:"coldrate,omitempty"`
	// Slots is the number of requests that a model engine runs concurrently; zero
	// for plain services.
	Slots int `json:"slots,omitempty"`
	// KVCacheTokens is the number of tokens that fit into an engine's KV cache.
	KVCacheTokens int `json:"memory,omitempty"`
	// EventTokens is the number of tokens of one event of an engine's stream, zero if it is not known.
	EventTokens int `json:"stride,omitempty"`
	// Models lists the models that the engines can run.
	Models []string `json:"models,omitempty"`
	Scale  *Scale   `json:"scale,omitempty"`
}

// Scale bounds the number of backend servers of a service in each availability
// zone, and gives their prices.
type Scale struct {
	Min int `json:"min"`
	Max int `json:"max"`
	// BootTime is the time from an order until the backend server serves.
	BootTime time.Duration `json:"boot"`
	// SpotPriceRatio is the price of a spot (reclaimable) backend server as a
	// fraction of the price of a steady one.
	SpotPriceRatio float64 `json:"cheap,omitempty"`
	// Prices holds the price of a backend server by availability zone.
	Prices map[string]float64 `json:"prices,omitempty"`
}

// Workspace names a workspace and lists its keys.
type Workspace struct {
	Name     string   `json:"name"`
	Keys     []string `json:"keys"`
	Priority *int     `json:"priority,omitempty"`
}

// Limits bound the size of requests and the time to receive them.
type Limits struct {
	MaxHeaderBytes int           `json:"header,omitempty"`
	MaxBodyBytes   int           `json:"body,omitempty"`
	ReadTimeout    time.Duration `json:"read,omitempty"`
	IdleTimeout    time.Duration `json:"idle,omitempty"`
}
