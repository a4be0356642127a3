package routing

import "time"

// Kind says what may be repeated.
type Kind string

// Kinds of route.
const (
	// Idempotent requests may run more than once.
	Idempotent Kind = "idempotent"
	// Once requests run at most once.
	Once Kind = "once"
	// Batch routes take batches whose items run later.
	Batch Kind = "batch"
)

// Config is one version of the configuration.
type Config struct {
	// Version never decreases on a host.
	Version    uint64      `json:"version"`
	Routes     []Route     `json:"routes"`
	Services   []Service   `json:"services"`
	Workspaces []Workspace `json:"workspaces,omitempty"`
	Limits     Limits      `json:"limits"`
}

// Route sends the requests of one host and path prefix to services.
type Route struct {
	Name string `json:"name"`
	Host string `json:"host"`
	// Prefix begins and ends with a slash.
	Prefix string `json:"prefix"`
	Kind   Kind   `json:"kind"`
	// Timeout is the longest time that a caller is kept waiting.
	Timeout time.Duration `json:"timeout"`
	// Target is the time within which an answer is worth most.
	TargetLatency time.Duration `json:"target,omitempty"`
	// Priority 0 is the most urgent.
	Priority int `json:"priority,omitempty"`
	// Targets hold the services by weight; their weights add up to over 0.
	Targets []Target `json:"targets"`
	// Attempts is the most backend servers that one request may be sent to.
	MaxAttempts int `json:"attempts"`
	// Due is when the results of a batch are due, after its submission.
	Due time.Duration `json:"due,omitempty"`
	// Expiry is when an item of a batch may be given up, after its submission.
	Expiry time.Duration `json:"expiry,omitempty"`
	// Single allows one weight version in a result.
	SingleVersion bool `json:"single,omitempty"`
	// Public routes need no key.
	Public bool `json:"public,omitempty"`
	// Sticky requests share prompt prefixes.
	Sticky bool `json:"sticky,omitempty"`
	// Resumable streams may go on at another backend server.
	Resumable bool `json:"resumable,omitempty"`
	// Streaming answers are passed on event by event.
	Streaming bool `json:"streaming,omitempty"`
}

// Target is a share of a route's requests.
type Target struct {
	Service string  `json:"service"`
	Weight  float64 `json:"weight"`
}

// Service is a pool of backend servers.
type Service struct {
	Name string `json:"name"`
	// Health is the path of the health check.
	HealthPath string `json:"health,omitempty"`
	// Connections is the most that one backend server accepts of all callers.
	MaxConnections int `json:"connections,omitempty"`
	// Cold is how long a backend server is cold after its start.
	ColdStart time.Duration `json:"cold,omitempty"`
	// ColdRate is the requests a second that a cold backend server bears.
	ColdRate float64 `json:"coldrate,omitempty"`
	// Slots is the requests that a model engine runs at once; zero for plain
	// services.
	Slots int `json:"slots,omitempty"`
	// Memory is the tokens that a model engine holds.
	KVCacheTokens int `json:"memory,omitempty"`
	// Models are the models that the engines run.
	Models []string `json:"models,omitempty"`
	Scale  *Scale   `json:"scale,omitempty"`
}

// Scale bounds what may be ordered for a service in each availability zone.
type Scale struct {
	Min int `json:"min"`
	Max int `json:"max"`
	// Boot is the time until an ordered backend server serves.
	BootTime time.Duration `json:"boot"`
	// Cheap is the price of a reclaimable backend server against a steady one.
	SpotPriceRatio float64 `json:"cheap,omitempty"`
	// Prices are by availability zone.
	Prices map[string]float64 `json:"prices,omitempty"`
}

// Workspace owns keys.
type Workspace struct {
	Name     string   `json:"name"`
	Keys     []string `json:"keys"`
	Priority *int     `json:"priority,omitempty"`
}

// Limits bound what a caller may send.
type Limits struct {
	MaxHeaderBytes int           `json:"header,omitempty"`
	MaxBodyBytes   int           `json:"body,omitempty"`
	ReadTimeout    time.Duration `json:"read,omitempty"`
	IdleTimeout    time.Duration `json:"idle,omitempty"`
}
