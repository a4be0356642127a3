// Package deployment runs a complete deployment on loopback addresses: the control and
// entry processes, and stand-ins for the backend servers, the weight store and the
// platform. The demo, the tests that need real processes and the measurements use it.
package deployment

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/plantainbank/plantainbank/pkg/process/settings"
	"github.com/plantainbank/plantainbank/pkg/version/strictjson"
	"github.com/plantainbank/plantainbank/pkg/version/view"
)

// OperatorToken and AnnounceToken are the bearer tokens of every loopback deployment.
const (
	OperatorToken = "loopback-operator"
	AnnounceToken = "loopback-backends"
)

// Ports of the processes. Every process has its own IP address, so processes of the
// same kind share port numbers.
const (
	controlPort  = 7000
	metricsPort  = 7001
	callerPort   = 8080
	operatorPort = 8081
	backendPort  = 8082
	standinPort  = 9000
)

// awaitTimeout is the maximum time that Await waits for a condition.
const awaitTimeout = 30 * time.Second

// Pool describes a pool of stand-in backend servers.
type Pool struct {
	Name string `json:"name"`
	// Kind is "engine" or "service".
	Kind  string `json:"kind"`
	Count int    `json:"count"`
	// Capacity is the maximum number of concurrent requests of one server.
	Capacity int `json:"bears"`
	// ServiceTime is the processing time of one token (engine) or one request (service).
	ServiceTime settings.Duration `json:"work"`
	// WarmupRequests is the number of requests after which an engine reaches its full
	// capacity.
	WarmupRequests int `json:"cold"`
	// AnnounceDelay is the time from when a server starts to serve until its first
	// announcement.
	AnnounceDelay settings.Duration `json:"delay"`
	// SpotCount is the number of servers of class "cheap", which the platform may
	// reclaim at short notice.
	SpotCount int `json:"cheap"`
}

// Plan is the content of a deployment.json file.
type Plan struct {
	Zones        []string `json:"zones"`
	ControlHosts int      `json:"control"`
	EntryHosts   int      `json:"entries"`
	Pools        []Pool   `json:"pools"`
	// StoreFetchRate is the number of fetches per second that the weight store serves.
	StoreFetchRate int `json:"rate"`
	// EnforceFencing makes the engines and the platform refuse orders with a stale
	// fencing token.
	EnforceFencing bool `json:"fences"`
}

// Deployment is a set of running processes. It is safe for concurrent use.
type Deployment struct {
	Plan
	// Dir is the directory for the data, settings files and logs of the processes.
	Dir string
	// Bin and Standin are the paths of the plantainbank and standin binaries.
	Bin, Standin string
	// Fixture is the directory with deployment.json and the settings files that the
	// settings of the processes are derived from.
	Fixture string
	// AddrPrefix is the first three bytes of every IP address, such as "127.0.1".
	AddrPrefix string
	// EditControl and EditEntry change the settings of a process before they are
	// written to its settings file. Either can be nil.
	EditControl func(*settings.Control)
	EditEntry   func(*settings.Entry)

	// ExternalPlatform is set if the caller runs the platform itself; StartAll then
	// starts no platform.
	ExternalPlatform bool

	mu    sync.Mutex
	procs map[string]*Process
}

// Process is a started process.
type Process struct {
	Name string
	cmd  *exec.Cmd
	done chan struct{}
	err  error
}

// New reads the plan of the fixture and writes the operator token to dir. It starts no
// process.
func New(dir, bin, standin, fixture, addrPrefix string) (*Deployment, error) {
	d := &Deployment{Dir: dir, Bin: bin, Standin: standin, Fixture: fixture, AddrPrefix: addrPrefix, procs: map[string]*Process{}}
	data, err := os.ReadFile(filepath.Join(fixture, "deployment.json"))
	if err != nil {
		return nil, err
	}
	if err := strictjson.DecodeCommented(data, &d.Plan); err != nil {
		return nil, err
	}
	token := filepath.Join(dir, "operator.token")
	return d, os.WriteFile(token, []byte(OperatorToken), 0o600)
}

// Address returns host:port of a process; host is the last byte of its IP address.
func (d *Deployment) Address(host, port int) string {
	return fmt.Sprintf("%s.%d:%d", d.AddrPrefix, host, port)
}

// ControlAddr returns the address of control process i, counted from 0.
func (d *Deployment) ControlAddr(i int) string { return d.Address(10+i, controlPort) }

// CallerAddr returns the address at which entry process i serves callers.
func (d *Deployment) CallerAddr(i int) string { return d.Address(20+i, callerPort) }

// OperatorAddr returns the address at which entry process i serves operators.
func (d *Deployment) OperatorAddr(i int) string { return d.Address(20+i, operatorPort) }

// PlatformAddr returns the platform's address.
func (d *Deployment) PlatformAddr() string { return d.Address(90, standinPort) }

// StoreAddr returns the weight store's address.
func (d *Deployment) StoreAddr() string { return d.Address(91, standinPort) }

// ServerAddr returns the address of backend server i. Backend servers are counted over
// all pools in the order of the plan.
func (d *Deployment) ServerAddr(i int) string { return d.Address(100+i, standinPort) }

// CallerAddrs returns the caller addresses of all entry processes.
func (d *Deployment) CallerAddrs() []string {
	var out []string
	for i := range d.EntryHosts {
		out = append(out, d.CallerAddr(i))
	}
	return out
}

// AnnounceAddrs returns the addresses at which the entry processes take the
// announcements of backend servers.
func (d *Deployment) AnnounceAddrs() []string {
	var out []string
	for i := range d.EntryHosts {
		out = append(out, d.Address(20+i, backendPort))
	}
	return out
}

func (d *Deployment) controlAddrs() []string {
	var out []string
	for i := range d.ControlHosts {
		out = append(out, d.ControlAddr(i))
	}
	return out
}

// Start runs a program and records it under name, which no running process may have.
// The output goes to NAME.log in Dir.
func (d *Deployment) Start(name, program string, args ...string) (*Process, error) {
	log, err := os.OpenFile(filepath.Join(d.Dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	defer log.Close()
	p := &Process{Name: name, cmd: exec.Command(program, args...), done: make(chan struct{})}
	p.cmd.Stdout, p.cmd.Stderr = log, log
	// The process gets its own process group. Tests stop processes with SIGSTOP, and the
	// kernel sends SIGHUP to an orphaned process group that has a stopped member: in the
	// group of the test run that would happen when the shell that started it exits.
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL, Setpgid: true}
	if err := p.cmd.Start(); err != nil {
		return nil, err
	}
	go func() {
		p.err = p.cmd.Wait()
		close(p.done)
	}()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.procs[name] = p
	return p, nil
}

// Process returns the process that was last started under name, or nil.
func (d *Deployment) Process(name string) *Process {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.procs[name]
}

// Signal sends a signal to the process.
func (p *Process) Signal(s os.Signal) error { return p.cmd.Process.Signal(s) }

// PID returns the process ID.
func (p *Process) PID() int { return p.cmd.Process.Pid }

// Kill sends SIGKILL and waits until the process has exited.
func (p *Process) Kill() {
	p.cmd.Process.Kill()
	<-p.done
}

// Wait waits until the process has exited and returns its exit error. It fails if the
// process still runs after limit.
func (p *Process) Wait(limit time.Duration) error {
	select {
	case <-p.done:
		return p.err
	case <-time.After(limit):
		return fmt.Errorf("process %s (pid %d) has not exited within %s", p.Name, p.PID(), limit)
	}
}

// writeSettings decodes the fixture's settings file of a role over the defaults in cfg,
// applies edit, and writes the result to a settings file for the process name. It
// returns the path of that file.
func writeSettings[T any](d *Deployment, role, name string, cfg T, edit func(*T)) (string, error) {
	data, err := os.ReadFile(filepath.Join(d.Fixture, role+".json"))
	if err != nil {
		return "", err
	}
	if err := strictjson.DecodeCommented(data, &cfg); err != nil {
		return "", err
	}
	edit(&cfg)
	if data, err = json.MarshalIndent(cfg, "", "  "); err != nil {
		return "", err
	}
	file := filepath.Join(d.Dir, name+".json")
	return file, os.WriteFile(file, data, 0o600)
}

// StartControl starts control process i.
func (d *Deployment) StartControl(i int) (*Process, error) {
	name := fmt.Sprintf("control-%d", i)
	file, err := writeSettings(d, "control", name, settings.DefaultControl(), func(c *settings.Control) {
		c.Listen, c.ControlAddrs = d.ControlAddr(i), d.controlAddrs()
		c.Zone = d.Zones[i%len(d.Zones)]
		c.DataDir = filepath.Join(d.Dir, "data", name)
		c.MetricsAddr = d.Address(10+i, metricsPort)
		c.Platform = settings.Platform{OrdersURL: "http://" + d.PlatformAddr() + "/orders", UsageURL: "http://" + d.PlatformAddr() + "/usage"}
		if d.EditControl != nil {
			d.EditControl(c)
		}
	})
	if err != nil {
		return nil, err
	}
	return d.Start(name, d.Bin, "control", file)
}

// StartEntry starts entry process i.
func (d *Deployment) StartEntry(i int) (*Process, error) {
	name := fmt.Sprintf("entry-%d", i)
	file, err := writeSettings(d, "entry", name, settings.DefaultEntry(), func(c *settings.Entry) {
		c.Host, c.Zone, c.ControlAddrs = name, d.Zones[i%len(d.Zones)], d.controlAddrs()
		c.CallerAddr, c.OperatorAddr, c.BackendAddr = d.CallerAddr(i), d.OperatorAddr(i), d.Address(20+i, backendPort)
		c.OperatorTokenHash, c.AnnounceTokenHash = view.HashKey(OperatorToken), view.HashKey(AnnounceToken)
		if d.EditEntry != nil {
			d.EditEntry(c)
		}
	})
	if err != nil {
		return nil, err
	}
	return d.Start(name, d.Bin, "entry", file)
}

// StartServer starts backend server i. Its number within its pool selects its zone and
// class.
func (d *Deployment) StartServer(i int) (*Process, error) {
	n := i
	for _, p := range d.Pools {
		if n >= p.Count {
			n -= p.Count
			continue
		}
		class := "steady"
		if n < p.SpotCount {
			class = "cheap"
		}
		args := []string{p.Kind, "--id", fmt.Sprintf("%s-%d", p.Name, n), "--addr", d.ServerAddr(i), "--pool", p.Name,
			"--zone", d.Zones[n%len(d.Zones)], "--class", class, "--bears", fmt.Sprint(p.Capacity), "--entries", strings.Join(d.AnnounceAddrs(), ","),
			"--token", AnnounceToken, "--work", time.Duration(p.ServiceTime).String(), "--cold", fmt.Sprint(p.WarmupRequests),
			"--delay", time.Duration(p.AnnounceDelay).String()}
		if p.Kind == "engine" {
			args = append(args, "--store", d.StoreAddr())
			if d.EnforceFencing {
				args = append(args, "--fences")
			}
		}
		return d.Start(fmt.Sprintf("%s-%d", p.Name, n), d.Standin, args...)
	}
	return nil, fmt.Errorf("no backend server %d: the plan has %d", i, d.ServerCount())
}

// ServerCount returns the number of backend servers in all pools.
func (d *Deployment) ServerCount() int {
	n := 0
	for _, p := range d.Pools {
		n += p.Count
	}
	return n
}

// StartAll starts every process of the plan and does not wait until they are ready.
func (d *Deployment) StartAll() error {
	platform := []string{"platform", "--addr", d.PlatformAddr()}
	if d.EnforceFencing {
		platform = append(platform, "--fences")
	}
	var err1 error
	if !d.ExternalPlatform {
		_, err1 = d.Start("platform", d.Standin, platform...)
	}
	_, err2 := d.Start("weightstore", d.Standin, "weightstore", "--addr", d.StoreAddr(), "--rate", fmt.Sprint(d.StoreFetchRate))
	if err := errors.Join(err1, err2); err != nil {
		return err
	}
	if err := d.startEach(d.ControlHosts, d.StartControl); err != nil {
		return err
	}
	if err := d.startEach(d.EntryHosts, d.StartEntry); err != nil {
		return err
	}
	return d.startEach(d.ServerCount(), d.StartServer)
}

// startEach calls start for the process numbers from 0 to n-1, up to the first error.
func (d *Deployment) startEach(n int, start func(int) (*Process, error)) error {
	for i := range n {
		if _, err := start(i); err != nil {
			return err
		}
	}
	return nil
}

// StopAll kills every process that this deployment started and waits until they have
// exited.
func (d *Deployment) StopAll() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, p := range d.procs {
		p.cmd.Process.Kill()
		<-p.done
	}
}

// Await polls until holds returns true, for at most 30 s. The error names the condition
// by what.
func Await(what string, holds func() bool) error {
	for deadline := time.Now().Add(awaitTimeout); time.Now().Before(deadline); {
		if holds() {
			return nil
		}
		time.Sleep(20 * time.Millisecond)
	}
	return fmt.Errorf("condition not met within %s: %s", awaitTimeout, what)
}

// Ready reports whether entry process i answers /readyz with 200.
func (d *Deployment) Ready(i int) bool {
	res, err := probe.Get("http://" + d.CallerAddr(i) + "/readyz")
	if err != nil {
		return false
	}
	res.Body.Close()
	return res.StatusCode == http.StatusOK
}

// probe bounds each poll of a process, which may be stopped or starting.
var probe = &http.Client{Timeout: time.Second}

// AwaitReady waits until every entry process is ready.
func (d *Deployment) AwaitReady() error {
	return Await("every entry host is ready", func() bool {
		for i := range d.EntryHosts {
			if !d.Ready(i) {
				return false
			}
		}
		return true
	})
}

// CLI runs an operator command of the plantainbank binary against entry process 0 and
// returns its output.
func (d *Deployment) CLI(args ...string) (string, error) {
	cmd := exec.Command(d.Bin, args...)
	cmd.Dir = d.Dir
	cmd.Env = append(os.Environ(), "PLANTAINBANK_OPERATOR=http://"+d.OperatorAddr(0),
		"PLANTAINBANK_TOKEN="+filepath.Join(d.Dir, "operator.token"))
	out, err := cmd.CombinedOutput()
	if err != nil {
		return string(out), fmt.Errorf("%s: %w: %s", strings.Join(args, " "), err, out)
	}
	return string(out), nil
}
