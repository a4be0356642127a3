// Package settings reads and checks the settings of a process: JSON with
// comments, one file a process.
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

// FileError names the settings file that an error was found in.
type FileError struct {
	File string
	Err  error
}

func (e *FileError) Error() string { return e.File + ": " + e.Err.Error() }

func (e *FileError) Unwrap() error { return e.Err }

// Duration is a time.Duration that is written as "300ms".
type Duration time.Duration

// UnmarshalJSON reads a duration with its unit.
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

// MarshalJSON writes the duration with its unit.
func (d Duration) MarshalJSON() ([]byte, error) { return json.Marshal(time.Duration(d).String()) }

// TLS names the files of a certificate in PEM.
type TLS struct {
	// Off turns encryption off. It is meant for the loopback example only.
	Off  bool   `json:"off,omitempty"`
	Cert string `json:"cert,omitempty"`
	Key  string `json:"key,omitempty"`
	// CA is the authority that the peer's certificate must come from.
	CA string `json:"ca,omitempty"`
}

// Logs sets what is logged.
type Logs struct {
	// Level is "error", "warning", "info" or "debug".
	Level string `json:"level,omitempty"`
}

// Trace sets where spans go. Both empty means that none are recorded.
type Trace struct {
	File     string `json:"file,omitempty"`
	Endpoint string `json:"endpoint,omitempty"`
}

// Platform names the interfaces of the platform. Empty ones are not used.
type Platform struct {
	OrdersURL string `json:"orders,omitempty"`
	UsageURL  string `json:"usage,omitempty"`
}

// Control holds the settings of a control process.
type Control struct {
	// Listen is the IP address and port for peers and entry hosts.
	Listen string `json:"listen"`
	Zone   string `json:"zone"`
	// Data is the folder that survives a restart.
	DataDir string `json:"data"`
	// Control lists the addresses of all control hosts, this one included.
	ControlAddrs []string `json:"control"`
	// Metrics is the address of the metrics and health pages; empty means none.
	MetricsAddr string   `json:"metrics,omitempty"`
	Platform    Platform `json:"platform"`
	// Grant is the length of a lease on the configuration.
	LeaseDuration Duration `json:"grant,omitempty"`
	// Window is the length of a usage window.
	UsageWindow Duration `json:"window,omitempty"`
	// Claim is the longest time that a sample may be in work before another
	// entry host may produce it too.
	ClaimTimeout Duration `json:"claim,omitempty"`
	// Swap is the longest time for one weight swap.
	SwapTimeout Duration `json:"swap,omitempty"`
	// Wave is the largest part of a pool that swaps weights at once, 0 to 1.
	MaxSwapFraction float64 `json:"wave,omitempty"`
	// Hedge is the part of a step's slots that may be produced twice at the
	// step's end; zero turns hedging off.
	HedgeFraction float64 `json:"hedge"`
	// Headroom is the part of the demand that is ordered on top of it.
	Headroom float64 `json:"headroom,omitempty"`
	// Snapshot is the number of log entries between two snapshots.
	SnapshotEntries uint64 `json:"snapshot,omitempty"`
	TLS             TLS    `json:"tls"`
	Logs            Logs   `json:"logs"`
	Trace           Trace  `json:"trace"`
}

// Limits bounds what callers may do.
type Limits struct {
	// Body is the largest request body in bytes.
	MaxBodyBytes int `json:"body,omitempty"`
	// Header is the largest request header in bytes.
	MaxHeaderBytes int `json:"header,omitempty"`
	// Answer is the largest answer of a plain service in bytes.
	MaxAnswerBytes int `json:"answer,omitempty"`
	// Connections is the most open caller connections.
	MaxConnections int `json:"connections,omitempty"`
	// Queue is the most waiting requests of a workspace in a pool.
	MaxWaiting int `json:"queue,omitempty"`
	// Idle ends a connection without a request.
	IdleTimeout Duration `json:"idle,omitempty"`
	// Read bounds the reception of a request.
	ReadTimeout Duration `json:"read,omitempty"`
	// Write bounds each write to a slow caller.
	WriteTimeout Duration `json:"write,omitempty"`
	// Drain bounds a graceful shutdown.
	DrainTimeout Duration `json:"drain,omitempty"`
}

// Policy switches parts of the decisions off, for measurements.
type Policy struct {
	// Choice is "wait" (least expected wait of two), "least" (least in
	// flight) or "robin".
	Choice string `json:"choice,omitempty"`
	// Unfair serves requests in order of arrival.
	FIFO bool `json:"unfair,omitempty"`
	// Unshared ignores the shares and sends each server at most Fixed requests.
	IgnoreShares bool `json:"unshared,omitempty"`
	FixedLimit   int  `json:"fixed,omitempty"`
	// Patient never refuses early.
	NoEarlyRefusal bool `json:"patient,omitempty"`
	// Retries is the number of retries allowed for each served request.
	RetryRatio float64 `json:"retries,omitempty"`
	// Affinity is the advantage of a server that holds the prefix, in
	// requests in flight.
	Affinity float64 `json:"affinity,omitempty"`
}

// Entry holds the settings of an entry process.
type Entry struct {
	// Host is the unique name of this entry host.
	Host string `json:"host"`
	Zone string `json:"zone"`
	// Callers is the address for callers and trainers.
	CallerAddr string `json:"callers"`
	// Operators is the address for operators, metrics and health.
	OperatorAddr string `json:"operators"`
	// Backends is the address at which backend servers announce themselves.
	BackendAddr string `json:"backends"`
	// Control lists the addresses of all control hosts.
	ControlAddrs []string `json:"control"`
	// Operator and Announce are the SHA-256 of the tokens, in hex.
	OperatorTokenHash string `json:"operator"`
	AnnounceTokenHash string `json:"announce"`
	// Renew is the longest time between two renewals of the lease.
	RenewInterval Duration `json:"renew,omitempty"`
	// Workers is the most samples that are produced at once.
	Workers int    `json:"workers,omitempty"`
	Limits  Limits `json:"limits"`
	Policy  Policy `json:"policy"`
	TLS     TLS    `json:"tls"`
	// CallerTLS is the certificate shown to callers and operators.
	CallerTLS TLS   `json:"callertls"`
	Logs      Logs  `json:"logs"`
	Trace     Trace `json:"trace"`
}

// DefaultControl returns the settings that a file may leave out.
func DefaultControl() Control {
	return Control{
		LeaseDuration: Duration(3 * time.Second), UsageWindow: Duration(time.Minute), ClaimTimeout: Duration(30 * time.Second),
		SwapTimeout: Duration(10 * time.Second), MaxSwapFraction: 0.34, HedgeFraction: 0.1, Headroom: 0.25, SnapshotEntries: 2000, Logs: Logs{Level: "info"},
	}
}

// DefaultEntry returns the settings that a file may leave out.
func DefaultEntry() Entry {
	return Entry{
		RenewInterval: Duration(400 * time.Millisecond), Workers: 64,
		Limits: Limits{MaxBodyBytes: 4 << 20, MaxHeaderBytes: 16 << 10, MaxAnswerBytes: 64 << 20, MaxConnections: 10_000, MaxWaiting: 256,
			IdleTimeout: Duration(time.Minute), ReadTimeout: Duration(10 * time.Second), WriteTimeout: Duration(10 * time.Second),
			DrainTimeout: Duration(30 * time.Second)},
		Policy: Policy{Choice: "wait", RetryRatio: 0.1, Affinity: 2},
		Logs:   Logs{Level: "info"},
	}
}

// ReadControl reads and checks the settings of a control process.
func ReadControl(file string) (Control, error) {
	cfg := DefaultControl()
	err := read(file, &cfg, cfg.check)
	return cfg, err
}

// ReadEntry reads and checks the settings of an entry process.
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
		address("listen", c.Listen),
		addresses("control", c.ControlAddrs),
		strictjson.Require("control", slices.Contains(c.ControlAddrs, c.Listen), "must contain the address of \"listen\""),
		optional("metrics", c.MetricsAddr),
		strictjson.Require("zone", c.Zone != "", "is missing"),
		strictjson.Require("data", c.DataDir != "", "is missing"),
		strictjson.Require("grant", between(c.LeaseDuration, time.Second, time.Minute), "must be 1s to 1m"),
		strictjson.Require("window", between(c.UsageWindow, 100*time.Millisecond, 24*time.Hour), "must be 100ms to 24h"),
		strictjson.Require("claim", between(c.ClaimTimeout, time.Second, time.Hour), "must be 1s to 1h"),
		strictjson.Require("swap", between(c.SwapTimeout, 100*time.Millisecond, time.Hour), "must be 100ms to 1h"),
		strictjson.Require("wave", c.MaxSwapFraction > 0 && c.MaxSwapFraction <= 1, "must be above 0 and at most 1"),
		strictjson.Require("hedge", c.HedgeFraction >= 0 && c.HedgeFraction <= 1, "must be 0 to 1"),
		strictjson.Require("headroom", c.Headroom >= 0 && c.Headroom <= 10, "must be 0 to 10"),
		strictjson.Require("snapshot", c.SnapshotEntries > 0, "must be 1 or more"),
		c.TLS.check("tls", true),
		c.Logs.check(),
	)
}

func (c *Entry) check() error {
	return strictjson.First(
		strictjson.Require("host", c.Host != "", "is missing"),
		strictjson.Require("zone", c.Zone != "", "is missing"),
		address("callers", c.CallerAddr),
		address("operators", c.OperatorAddr),
		address("backends", c.BackendAddr),
		addresses("control", c.ControlAddrs),
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
		strictjson.Require("limits.header", l.MaxHeaderBytes >= 1024, "must be 1024 or more bytes"),
		strictjson.Require("limits.answer", l.MaxAnswerBytes > 0, "must be 1 or more bytes"),
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

func between(d Duration, least, most time.Duration) bool {
	return time.Duration(d) >= least && time.Duration(d) <= most
}

func address(field, value string) error {
	host, port, err := net.SplitHostPort(value)
	if err != nil || net.ParseIP(host) == nil || port == "" {
		return &strictjson.FieldError{Field: field, Problem: fmt.Sprintf("has the value %q, must be an IP address and port", value)}
	}
	return nil
}

func optional(field, value string) error {
	if value == "" {
		return nil
	}
	return address(field, value)
}

func addresses(field string, values []string) error {
	for i, v := range values {
		if err := address(fmt.Sprintf("%s[%d]", field, i), v); err != nil {
			return err
		}
	}
	return strictjson.Require(field, len(values) > 0, "must list at least one address")
}
