// Package settings reads and validates settings files. Each process has one file,
// in JSON with comments.
package settings

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"slices"
	"time"

	"github.com/plantainbank/plantainbank/pkg/version/strictjson"
)

// FileError is an error in a settings file.
type FileError struct {
	File string
	Err  error
}

func (e *FileError) Error() string { return e.File + ": " + e.Err.Error() }

func (e *FileError) Unwrap() error { return e.Err }

// Duration is a time.Duration that is encoded as a string such as "300ms".
type Duration time.Duration

// UnmarshalJSON decodes a duration with a unit. It rejects negative durations.
func (d *Duration) UnmarshalJSON(data []byte) error {
	var text string
	if err := json.Unmarshal(data, &text); err != nil {
		return &strictjson.FieldError{Field: string(data), Problem: "must be a duration such as \"300ms\""}
	}
	v, err := time.ParseDuration(text)
	if err != nil || v < 0 {
		return &strictjson.FieldError{Field: text, Problem: "must be a duration such as \"300ms\""}
	}
	*d = Duration(v)
	return nil
}

// MarshalJSON encodes the duration with its unit.
func (d Duration) MarshalJSON() ([]byte, error) { return json.Marshal(time.Duration(d).String()) }

// TLS configures TLS for a listener or a client. The files are in PEM.
type TLS struct {
	// Off disables TLS. It is meant only for the example on the loopback interface.
	Off  bool   `json:"off,omitempty"`
	Cert string `json:"cert,omitempty"`
	Key  string `json:"key,omitempty"`
	// CA is the certificate authority that must have signed the peer's certificate.
	CA string `json:"ca,omitempty"`
}

// Logs configures logging.
type Logs struct {
	// Level is "error", "warning", "info" or "debug".
	Level string `json:"level,omitempty"`
}

// Trace configures where spans are exported to: a file or an OTLP endpoint. If
// both are empty, no spans are recorded.
type Trace struct {
	File     string `json:"file,omitempty"`
	Endpoint string `json:"endpoint,omitempty"`
}

// Platform holds the URLs of the platform's interfaces. An empty URL disables the
// interface.
type Platform struct {
	OrdersURL string `json:"orders,omitempty"`
	UsageURL  string `json:"usage,omitempty"`
}

// Control holds the settings of a control process.
type Control struct {
	// Listen is the IP address and port that peers and entry hosts connect to.
	Listen string `json:"listen"`
	Zone   string `json:"zone"`
	// DataDir is the data directory. It must persist across restarts.
	DataDir string `json:"data"`
	// ControlAddrs lists the addresses of all control hosts, including this one.
	ControlAddrs []string `json:"control"`
	// MetricsAddr is the address of the metrics and health endpoints. If it is
	// empty, they are not served.
	MetricsAddr string   `json:"metrics,omitempty"`
	Platform    Platform `json:"platform"`
	// LeaseDuration is the duration of an entry host's lease on the configuration.
	LeaseDuration Duration `json:"grant,omitempty"`
	// UsageWindow is the length of a usage window.
	UsageWindow Duration `json:"window,omitempty"`
	// ClaimTimeout is how long an entry host may work on a sample before another
	// entry host may produce it as well.
	ClaimTimeout Duration `json:"claim,omitempty"`
	// SwapTimeout is the maximum duration of one weight swap.
	SwapTimeout Duration `json:"swap,omitempty"`
	// MaxSwapFraction is the maximum fraction of a pool that swaps weights at the
	// same time, above 0 and at most 1.
	MaxSwapFraction float64 `json:"wave,omitempty"`
	// HedgeFraction is the fraction of a step's slots that may be hedged, that is
	// produced twice, near the end of the step. Zero disables hedging.
	HedgeFraction float64 `json:"hedge"`
	// Headroom is the capacity ordered beyond the demand, as a fraction of the
	// demand.
	Headroom float64 `json:"headroom,omitempty"`
	// MaxBodyBytes is the maximum size of the body of a call. A snapshot of the state is one call, so the
	// default is the largest that the log can store.
	MaxBodyBytes int `json:"body,omitempty"`
	// FlightBytes is the size of the bodies and answers of all calls together that the process holds.
	FlightBytes int `json:"flight,omitempty"`
	// SnapshotEntries is the number of log entries between two snapshots.
	SnapshotEntries uint64 `json:"snapshot,omitempty"`
	TLS             TLS    `json:"tls"`
	Logs            Logs   `json:"logs"`
	Trace           Trace  `json:"trace"`
}

// Limits holds the limits on requests, connections and responses.
type Limits struct {
	// MaxBodyBytes is the maximum size of a request body.
	MaxBodyBytes int `json:"body,omitempty"`
	// FlightBytes is the size of all request bodies, and of the answers that callers have not read,
	// that the process holds.
	FlightBytes int `json:"flight,omitempty"`
	// MaxHeaderBytes is the maximum size of a request header.
	MaxHeaderBytes int `json:"header,omitempty"`
	// MaxResponseBytes is the maximum size of a response of a backend server that is a
	// plain service, not an engine.
	MaxResponseBytes int `json:"answer,omitempty"`
	// MaxConnections is the maximum number of open connections of callers.
	MaxConnections int `json:"connections,omitempty"`
	// MaxWaiting is the maximum number of queued requests of a workspace in a pool.
	MaxWaiting int `json:"queue,omitempty"`
	// IdleTimeout closes a connection on which no request arrives.
	IdleTimeout Duration `json:"idle,omitempty"`
	// ReadTimeout limits the time to receive a request.
	ReadTimeout Duration `json:"read,omitempty"`
	// WriteTimeout limits the time of each write to a slow caller.
	WriteTimeout Duration `json:"write,omitempty"`
	// DrainTimeout limits the duration of a graceful shutdown.
	DrainTimeout Duration `json:"drain,omitempty"`
}

// Policy configures load balancing, queueing and retries. Measurements use it to
// disable single parts of them.
type Policy struct {
	// Choice is the load-balancing algorithm: "wait" (the lower expected wait of
	// two servers), "least" (least requests in flight) or "robin" (round robin).
	Choice string `json:"choice,omitempty"`
	// FIFO serves requests in order of arrival instead of by fair queueing.
	FIFO bool `json:"unfair,omitempty"`
	// IgnoreShares ignores the capacity shares from the leader and limits each
	// server to FixedLimit requests in flight.
	IgnoreShares bool `json:"unshared,omitempty"`
	FixedLimit   int  `json:"fixed,omitempty"`
	// NoEarlyRefusal disables the early refusal of requests that are expected to
	// wait too long.
	NoEarlyRefusal bool `json:"patient,omitempty"`
	// RetryRatio is the retry budget: the number of retries allowed for each served
	// request.
	RetryRatio float64 `json:"retries,omitempty"`
	// Affinity is the advantage of the server that has the prefix cached, as a
	// multiple of that server's latency.
	Affinity float64 `json:"affinity,omitempty"`
}

// Entry holds the settings of an entry process.
type Entry struct {
	// Host is the unique name of this entry host.
	Host string `json:"host"`
	Zone string `json:"zone"`
	// CallerAddr is the address for callers and trainers.
	CallerAddr string `json:"callers"`
	// OperatorAddr is the address for operators, metrics and health.
	OperatorAddr string `json:"operators"`
	// BackendAddr is the address for announcements of backend servers.
	BackendAddr string `json:"backends"`
	// ControlAddrs lists the addresses of all control hosts.
	ControlAddrs []string `json:"control"`
	// OperatorTokenHash and AnnounceTokenHash are the SHA-256 hashes of the tokens,
	// in hex.
	OperatorTokenHash string `json:"operator"`
	AnnounceTokenHash string `json:"announce"`
	// RenewInterval is the maximum time between two renewals of the lease.
	RenewInterval Duration `json:"renew,omitempty"`
	// Workers is the maximum number of samples produced concurrently.
	Workers int    `json:"workers,omitempty"`
	Limits  Limits `json:"limits"`
	Policy  Policy `json:"policy"`
	TLS     TLS    `json:"tls"`
	// CallerTLS configures the listeners for callers and operators.
	CallerTLS TLS   `json:"callertls"`
	Logs      Logs  `json:"logs"`
	Trace     Trace `json:"trace"`
}

// DefaultControl returns the default settings of a control process.
func DefaultControl() Control {
	return Control{
		LeaseDuration: Duration(3 * time.Second), UsageWindow: Duration(time.Minute), ClaimTimeout: Duration(30 * time.Second),
		SwapTimeout: Duration(10 * time.Second), MaxSwapFraction: 0.34, HedgeFraction: 0.1, Headroom: 0.25, MaxBodyBytes: 256 << 20, FlightBytes: 64 << 20, SnapshotEntries: 2000, Logs: Logs{Level: "info"},
	}
}

// DefaultEntry returns the default settings of an entry process.
func DefaultEntry() Entry {
	return Entry{
		RenewInterval: Duration(400 * time.Millisecond), Workers: 64,
		Limits: Limits{MaxBodyBytes: 4 << 20, FlightBytes: 64 << 20, MaxHeaderBytes: 16 << 10, MaxResponseBytes: 64 << 20, MaxConnections: 10_000, MaxWaiting: 256,
			IdleTimeout: Duration(time.Minute), ReadTimeout: Duration(10 * time.Second), WriteTimeout: Duration(10 * time.Second),
			DrainTimeout: Duration(30 * time.Second)},
		Policy: Policy{Choice: "wait", RetryRatio: 0.1, Affinity: 2},
		Logs:   Logs{Level: "info"},
	}
}

// ReadControl reads and validates the settings of a control process. Settings that
// the file omits keep their defaults.
func ReadControl(file string) (Control, error) {
	cfg := DefaultControl()
	err := read(file, &cfg, cfg.check)
	return cfg, err
}

// ReadEntry reads and validates the settings of an entry process. Settings that
// the file omits keep their defaults.
func ReadEntry(file string) (Entry, error) {
	cfg := DefaultEntry()
	err := read(file, &cfg, cfg.check)
	return cfg, err
}

func read(file string, into any, check func() error) error {
	data, err := os.ReadFile(file)
	if err != nil {
		return &FileError{File: file, Err: errors.Unwrap(err)}
	}
	if err := strictjson.DecodeCommented(data, into); err != nil {
		return &FileError{File: file, Err: err}
	}
	if err := check(); err != nil {
		return &FileError{File: file, Err: err}
	}
	return nil
}

func (c *Control) check() error {
	return strictjson.First(
		checkAddress("listen", c.Listen),
		checkAddresses("control", c.ControlAddrs),
		strictjson.Require("control", slices.Contains(c.ControlAddrs, c.Listen), "must contain the address of \"listen\""),
		checkOptionalAddress("metrics", c.MetricsAddr),
		strictjson.Require("zone", c.Zone != "", "is missing"),
		strictjson.Require("data", c.DataDir != "", "is missing"),
		strictjson.Require("grant", between(c.LeaseDuration, time.Second, time.Minute), "must be 1s to 1m"),
		strictjson.Require("window", between(c.UsageWindow, 100*time.Millisecond, 24*time.Hour), "must be 100ms to 24h"),
		strictjson.Require("claim", between(c.ClaimTimeout, time.Second, time.Hour), "must be 1s to 1h"),
		strictjson.Require("swap", between(c.SwapTimeout, 100*time.Millisecond, time.Hour), "must be 100ms to 1h"),
		strictjson.Require("wave", c.MaxSwapFraction > 0 && c.MaxSwapFraction <= 1, "must be above 0 and at most 1"),
		strictjson.Require("hedge", c.HedgeFraction >= 0 && c.HedgeFraction <= 1, "must be 0 to 1"),
		strictjson.Require("headroom", c.Headroom >= 0 && c.Headroom <= 10, "must be 0 to 10"),
		strictjson.Require("body", c.MaxBodyBytes >= 1<<20, "must be 1048576 or more bytes"),
		strictjson.Require("flight", c.FlightBytes >= 1<<20, "must be 1048576 or more bytes"),
		strictjson.Require("snapshot", c.SnapshotEntries > 0, "must be 1 or more"),
		c.TLS.check("tls", true),
		c.Logs.check(),
	)
}

func (c *Entry) check() error {
	return strictjson.First(
		strictjson.Require("host", c.Host != "", "is missing"),
		strictjson.Require("zone", c.Zone != "", "is missing"),
		checkAddress("callers", c.CallerAddr),
		checkAddress("operators", c.OperatorAddr),
		checkAddress("backends", c.BackendAddr),
		checkAddresses("control", c.ControlAddrs),
		strictjson.Require("operator", len(c.OperatorTokenHash) == 64, "must be the SHA-256 of the operators' token in hex"),
		strictjson.Require("announce", len(c.AnnounceTokenHash) == 64, "must be the SHA-256 of the backend servers' token in hex"),
		strictjson.Require("renew", between(c.RenewInterval, 50*time.Millisecond, 10*time.Second), "must be 50ms to 10s"),
		strictjson.Require("workers", c.Workers >= 0, "must not be negative"),
		c.Limits.check(),
		strictjson.OneOf("policy.choice", c.Policy.Choice, "least", "robin", "wait"),
		strictjson.Require("policy.retries", c.Policy.RetryRatio >= 0 && c.Policy.RetryRatio <= 1, "must be 0 to 1"),
		c.TLS.check("tls", true),
		c.CallerTLS.check("callertls", false),
		c.Logs.check(),
	)
}

func (l Limits) check() error {
	return strictjson.First(
		strictjson.Require("limits.body", l.MaxBodyBytes > 0, "must be 1 or more bytes"),
		strictjson.Require("limits.flight", l.FlightBytes >= l.MaxBodyBytes, "must be at least \"limits.body\""),
		strictjson.Require("limits.header", l.MaxHeaderBytes >= 1024, "must be 1024 or more bytes"),
		strictjson.Require("limits.answer", l.MaxResponseBytes > 0, "must be 1 or more bytes"),
		strictjson.Require("limits.connections", l.MaxConnections > 0, "must be 1 or more"),
		strictjson.Require("limits.queue", l.MaxWaiting > 0, "must be 1 or more"),
	)
}

func (l Logs) check() error {
	return strictjson.OneOf("logs.level", l.Level, "debug", "error", "info", "warning")
}

func (t TLS) check(field string, mutual bool) error {
	if t.Off {
		return strictjson.Require(field+".off", t.Cert == "" && t.Key == "" && t.CA == "", "can not stand beside certificate files")
	}
	return strictjson.First(
		strictjson.Require(field+".cert", t.Cert != "", "is missing (or set \"off\" to true on loopback)"),
		strictjson.Require(field+".key", t.Key != "", "is missing"),
		strictjson.Require(field+".ca", t.CA != "" || !mutual, "is missing"),
	)
}

func between(d Duration, low, high time.Duration) bool {
	return time.Duration(d) >= low && time.Duration(d) <= high
}

func checkAddress(field, value string) error {
	host, port, err := net.SplitHostPort(value)
	if err != nil || net.ParseIP(host) == nil || port == "" {
		return &strictjson.FieldError{Field: field, Problem: fmt.Sprintf("has the value %q, must be an IP address and port", value)}
	}
	return nil
}

func checkOptionalAddress(field, value string) error {
	if value == "" {
		return nil
	}
	return checkAddress(field, value)
}

func checkAddresses(field string, values []string) error {
	for i, v := range values {
		if err := checkAddress(fmt.Sprintf("%s[%d]", field, i), v); err != nil {
			return err
		}
	}
	return strictjson.Require(field, len(values) > 0, "must list at least one address")
}
