package settings

import (
	"fmt"
	"net"
	"strconv"
	"time"

	"github.com/plantainbank/plantainbank/pkg/version/strictjson"
)

// Roles of a host on a site.
const (
	RoleEntry   = "entry"
	RoleControl = "control"
	RoleStore   = "store"
)

// Millis is a duration that is written as a number of milliseconds.
type Millis float64

// Duration returns the value as a time.Duration.
func (m Millis) Duration() time.Duration {
	return time.Duration(float64(m) * float64(time.Millisecond))
}

// Site holds the settings of a process that is started by a platform which
// names the seeds, the bounds and the limits. All three roles share them.
type Site struct {
	// Role is "entry", "control" or "store".
	Role string `json:"role"`
	Host string `json:"host"`
	Zone string `json:"zone"`
	// IP is the address of the host; the ports below are on it.
	IP string `json:"ip"`
	// Callers and Ready are the addresses of an entry process.
	CallerAddr string `json:"callers,omitempty"`
	ReadyAddr  string `json:"ready,omitempty"`
	// Operators is the address of a control process that operators, trainers
	// and backend servers call.
	OperatorAddr string `json:"operators,omitempty"`
	// Ports is the range that own processes use between them.
	Ports []int `json:"ports"`
	// Seeds are addresses for operators of some control processes.
	Seeds []string `json:"seeds"`
	// Bootstrap is true at the first start of the whole system only.
	Bootstrap bool `json:"bootstrap"`
	// Data is the folder that survives a restart.
	DataDir string `json:"data,omitempty"`
	// Memory is the most that the process may use, in MB.
	MemoryMB int `json:"memory"`
	// Tolerate is the number of hosts with a disk that may be lost at once.
	MaxLostHosts int `json:"tolerate"`
	// Metrics is the address of the counters' page; empty means none.
	MetricsAddr string       `json:"metrics,omitempty"`
	Bounds      Bounds       `json:"bounds"`
	Platform    SitePlatform `json:"platform"`
	Logs        Logs         `json:"logs"`
}

// Bounds are the promises that the platform holds the system to, in ms.
type Bounds struct {
	// Lease is how long after one holder of a duty the next may act.
	Lease Millis `json:"lease"`
	// Drain is the time in which no new work may reach a leaving server.
	Drain Millis `json:"drain"`
	// Grace is the time from SIGTERM to SIGKILL.
	Grace Millis `json:"grace"`
	// Window is the length of a usage window.
	Window Millis `json:"window"`
	// Late is when the report of a usage window is due, after its end.
	ReportDeadline Millis `json:"late"`
	// Keep is how long the results of a batch stay readable.
	ResultRetention Millis `json:"keep"`
	// Heartbeat is the period of the backend servers' announcements.
	Heartbeat Millis `json:"heartbeat"`
	// Overage and Slack bound the requests a second to a cold server:
	// rate x overage + slack over all hosts.
	Overage float64 `json:"overage"`
	Slack   float64 `json:"slack"`
}

// SitePlatform is the platform's interface for orders and usage.
type SitePlatform struct {
	// Addr is empty if there is none.
	Addr string `json:"addr,omitempty"`
	// Rate is the calls a second that it takes of all hosts.
	Rate float64 `json:"rate,omitempty"`
}

// ReadSite reads and checks the settings of a role.
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
		addresses("seeds", c.Seeds),
		strictjson.Require("memory", c.MemoryMB >= 16, "must be 16 or more MB"),
		strictjson.Require("tolerate", c.MaxLostHosts >= 0 && c.MaxLostHosts <= 3, "must be 0 to 3"),
		optional("metrics", c.MetricsAddr),
		c.checkRole(),
		c.Bounds.check(),
		optional("platform.addr", c.Platform.Addr),
		c.Logs.check(),
	)
}

func (c *Site) checkRole() error {
	switch c.Role {
	case RoleEntry:
		return strictjson.First(address("callers", c.CallerAddr), address("ready", c.ReadyAddr))
	case RoleControl:
		return strictjson.First(address("operators", c.OperatorAddr), strictjson.Require("data", c.DataDir != "", "is missing"))
	}
	return strictjson.Require("data", c.DataDir != "", "is missing")
}

func (b Bounds) check() error {
	return strictjson.First(
		strictjson.Require("bounds.lease", b.Lease > 0, "must be above 0 ms"),
		strictjson.Require("bounds.drain", b.Drain > 0, "must be above 0 ms"),
		strictjson.Require("bounds.grace", b.Grace > 0, "must be above 0 ms"),
		strictjson.Require("bounds.window", b.Window > 0, "must be above 0 ms"),
		strictjson.Require("bounds.late", b.ReportDeadline > 0, "must be above 0 ms"),
		strictjson.Require("bounds.keep", b.ResultRetention > 0, "must be above 0 ms"),
		strictjson.Require("bounds.heartbeat", b.Heartbeat > 0, "must be above 0 ms"),
	)
}

// Internal returns the address for calls between own processes.
func (c *Site) InternalAddr() string { return net.JoinHostPort(c.IP, strconv.Itoa(c.Ports[0])) }

// Controls returns the internal addresses of the seeds.
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

// Replicas is the number of voters that bears the losses.
func (c *Site) Replicas() int { return 2*c.MaxLostHosts + 1 }
