package settings

import (
	"fmt"
	"net"
	"strconv"
	"time"

	"github.com/plantainbank/plantainbank/pkg/version/strictjson"
)

// Roles of a process on a site.
const (
	RoleEntry   = "entry"
	RoleControl = "control"
	RoleStore   = "store"
)

// Millis is a duration that is encoded as a number of milliseconds.
type Millis float64

// Duration converts m to a time.Duration.
func (m Millis) Duration() time.Duration {
	return time.Duration(float64(m) * float64(time.Millisecond))
}

// Site holds the settings of a process that a platform starts. The platform
// provides the seeds, the bounds and the resource limits. All roles share the type.
type Site struct {
	// Role is "entry", "control" or "store".
	Role string `json:"role"`
	Host string `json:"host"`
	Zone string `json:"zone"`
	// IP is the address of the host. Ports are on this address.
	IP string `json:"ip"`
	// CallerAddr and ReadyAddr are the addresses of an entry process for callers
	// and for the readiness check.
	CallerAddr string `json:"callers,omitempty"`
	ReadyAddr  string `json:"ready,omitempty"`
	// OperatorAddr is the address of a control process for operators, trainers and
	// backend servers.
	OperatorAddr string `json:"operators,omitempty"`
	// Ports is the first and the last port of the range for calls between the
	// system's own processes.
	Ports []int `json:"ports"`
	// Seeds lists the OperatorAddr of some control processes.
	Seeds []string `json:"seeds"`
	// Bootstrap is true only at the first start of the whole system.
	Bootstrap bool `json:"bootstrap"`
	// DataDir is the data directory. It must persist across restarts.
	DataDir string `json:"data,omitempty"`
	// MemoryMB is the memory limit of the process.
	MemoryMB int `json:"memory"`
	// MaxLostHosts is the number of hosts with a disk whose simultaneous loss must
	// be tolerated.
	MaxLostHosts int `json:"tolerate"`
	// MetricsAddr is the address of the metrics endpoint. If it is empty, metrics
	// are not served.
	MetricsAddr string       `json:"metrics,omitempty"`
	Bounds      Bounds       `json:"bounds"`
	Bodies      Bodies       `json:"bodies"`
	Platform    SitePlatform `json:"platform"`
	Scheduling  Scheduling   `json:"scheduling"`
	Logs        Logs         `json:"logs"`
	Plain       Plain        `json:"plain"`
}

// Plain configures calls to plain services.
type Plain struct {
	// Share divides the capacity of a service that is under pressure among the workspaces, across all
	// hosts. Control and entry processes need it.
	Share bool `json:"share,omitempty"`
	// Copies is the part of the idempotent calls that may be sent to a second server when the first one takes
	// long, 0 to maxCopies. Entry processes need it.
	Copies float64 `json:"copies,omitempty"`
}

// maxCopies bounds Plain.Copies. In the trial of docs/design/plain-calls.md, 8.6% of the calls took three times
// the usual time while servers were slow now and then; more copies would only add load.
const maxCopies = 0.1

func (p Plain) check() error {
	return strictjson.Require("plain.copies", p.Copies >= 0 && p.Copies <= maxCopies, "must be 0 to 0.1")
}

// Scheduling switches on how a store host places the items of batches.
type Scheduling struct {
	// Speeds places items by the time that engines take for an event, and moves running items to
	// faster engines.
	Speeds bool `json:"speeds,omitempty"`
	// Prompts is the least number of shared tokens of a prompt with which items go to engines that have
	// it cached; 0 switches that off.
	Prompts int `json:"prompts,omitempty"`
	// Fair divides capacity among trainers and runs groups that cannot be complete last, while not all can.
	Fair bool `json:"fair,omitempty"`
	// Refuse refuses submissions that cannot be served.
	Refuse bool `json:"refuse,omitempty"`
	// OpenMB bounds the data of the open batches in MB; zero means a third of the memory.
	OpenMB int `json:"open,omitempty"`
}

// maxSharedTokens bounds Scheduling.Prompts.
const maxSharedTokens = 1_000_000

func (s Scheduling) check(memoryMB int) error {
	return strictjson.First(
		strictjson.Require("scheduling.prompts", s.Prompts >= 0 && s.Prompts <= maxSharedTokens, "must be 0 to 1,000,000 tokens"),
		strictjson.Require("scheduling.open", s.OpenMB >= 0 && s.OpenMB <= memoryMB,
			"must be 0 (a third of memory) or a number of MB up to memory"),
	)
}

// OpenBytes returns the bound of the data of the open batches.
func (c *Site) OpenBytes() int {
	if c.Scheduling.OpenMB > 0 {
		return c.Scheduling.OpenMB << 20
	}
	return c.MemoryMB << 20 / 3
}

// Bounds are the limits that the platform requires the system to meet.
type Bounds struct {
	// Lease is the time that must pass after one holder of the leader tasks before
	// the next holder may act.
	Lease Millis `json:"lease"`
	// Fenced is true if engines and the platform refuse calls with an outdated fencing
	// token.
	Fenced bool `json:"fenced"`
	// Grace is the time between SIGTERM and SIGKILL.
	Grace Millis `json:"grace"`
	// Window is the length of a usage window.
	Window Millis `json:"window"`
	// ResultRetention is how long the results of a batch stay readable.
	ResultRetention Millis `json:"keep"`
}

// Bodies limits what clients can make a process hold in memory. Zero stands for the default.
type Bodies struct {
	// MemoryMB is the size of all request bodies and unread answers together. The default is a fraction of
	// the memory limit.
	MemoryMB int `json:"memory,omitempty"`
	// Stall ends a body of which nothing arrives, or an answer of which nothing is read, for this
	// long. The default is 10 s.
	Stall Millis `json:"stall,omitempty"`
	// Connections is the maximum number of connections of clients. The default follows from the
	// memory limit.
	Connections int `json:"connections,omitempty"`
}

// SitePlatform configures the platform's interface for orders and usage.
type SitePlatform struct {
	// Addr is empty if the platform has no such interface.
	Addr string `json:"addr,omitempty"`
	// Rate is the number of calls per second that the platform accepts from all
	// hosts together.
	Rate float64 `json:"rate,omitempty"`
}

// ReadSite reads and validates the settings of a process with the given role.
func ReadSite(file, role string) (Site, error) {
	var c Site
	err := read(file, &c, func() error { return c.check(role) })
	return c, err
}

func (c *Site) check(role string) error {
	return strictjson.First(
		strictjson.Require("role", c.Role == role, fmt.Sprintf("must be %q", role)),
		strictjson.Require("host", c.Host != "", "is missing"),
		strictjson.Require("zone", c.Zone != "", "is missing"),
		strictjson.Require("ip", net.ParseIP(c.IP) != nil, "must be an IP address"),
		strictjson.Require("ports", len(c.Ports) == 2 && c.Ports[0] > 0 && c.Ports[0] <= c.Ports[1] && c.Ports[1] < 1<<16,
			"must be the first and the last port of a range"),
		checkAddresses("seeds", c.Seeds),
		strictjson.Require("memory", c.MemoryMB >= 16, "must be 16 or more MB"),
		strictjson.Require("tolerate", c.MaxLostHosts >= 0 && c.MaxLostHosts <= 3, "must be 0 to 3"),
		checkOptionalAddress("metrics", c.MetricsAddr),
		c.checkRole(),
		c.Bounds.check(),
		c.Bodies.check(c.MemoryMB),
		checkOptionalAddress("platform.addr", c.Platform.Addr),
		c.Scheduling.check(c.MemoryMB),
		c.Logs.check(),
		c.Plain.check(),
	)
}

func (c *Site) checkRole() error {
	switch c.Role {
	case RoleEntry:
		return strictjson.First(checkAddress("callers", c.CallerAddr), checkAddress("ready", c.ReadyAddr))
	case RoleControl:
		return strictjson.First(checkAddress("operators", c.OperatorAddr), strictjson.Require("data", c.DataDir != "", "is missing"))
	}
	return strictjson.Require("data", c.DataDir != "", "is missing")
}

func (b Bounds) check() error {
	return strictjson.First(
		strictjson.Require("bounds.lease", b.Lease > 0, "must be above 0 ms"),
		strictjson.Require("bounds.grace", b.Grace > 0, "must be above 0 ms"),
		strictjson.Require("bounds.window", b.Window > 0, "must be above 0 ms"),
		strictjson.Require("bounds.keep", b.ResultRetention > 0, "must be above 0 ms"),
	)
}

func (b Bodies) check(memoryMB int) error {
	return strictjson.First(
		strictjson.Require("bodies.memory", b.MemoryMB >= 0 && b.MemoryMB <= memoryMB, "must be 0 (the default) to the value of \"memory\""),
		strictjson.Require("bodies.stall", b.Stall == 0 || b.Stall >= 1000 && b.Stall <= 20000, "must be 0 (the default) or 1000 to 20000 ms"),
		strictjson.Require("bodies.connections", b.Connections == 0 || b.Connections >= 16 && b.Connections <= 1<<20,
			"must be 0 (the default) or 16 to 1048576"),
	)
}

// InternalAddr returns the address for calls from the system's own processes.
func (c *Site) InternalAddr() string { return net.JoinHostPort(c.IP, strconv.Itoa(c.Ports[0])) }

// ControlAddrs returns the internal addresses of the control processes in Seeds.
func (c *Site) ControlAddrs() []string {
	var out []string
	for _, s := range c.Seeds {
		host, _, err := net.SplitHostPort(s)
		if err == nil {
			out = append(out, net.JoinHostPort(host, strconv.Itoa(c.Ports[0])))
		}
	}
	return out
}

// Replicas returns the number of voters that is needed to tolerate the loss of
// MaxLostHosts voters.
func (c *Site) Replicas() int { return 2*c.MaxLostHosts + 1 }
