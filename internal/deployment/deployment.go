// Package deployment starts the real processes of a deployment with its
// stand-ins on loopback addresses, for the demo, the process tests and the
// measurements.
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

// Tokens of the loopback deployments.
const (
	OperatorToken = "loopback-operator"
	AnnounceToken = "loopback-backends"
)

// Ports of the processes; every process has an address of its own.
const (
	controlPort  = 7000
	metricsPort  = 7001
	callerPort   = 8080
	operatorPort = 8081
	backendPort  = 8082
	standinPort  = 9000
)

// readyTimeout bounds the wait for a condition.
const readyTimeout = 30 * time.Second

// Pool is a pool of stand-in backend servers.
type Pool struct {
	Name string `json:"name"`
	// Kind is "engine" or "service".
	Kind  string `json:"kind"`
	Count int    `json:"count"`
	Bears int    `json:"bears"`
	// Work is the time for a token or a request.
	Work settings.Duration `json:"work"`
	// Cold is the number of requests until an engine is warm.
	Cold int `json:"cold"`
	// Delay is the time between serving and the first announcement.
	Delay settings.Duration `json:"delay"`
	// Cheap is the number of servers that are reclaimable.
	Cheap int `json:"cheap"`
}

// Plan is the content of a deployment.json.
type Plan struct {
	Zones   []string `json:"zones"`
	Control int      `json:"control"`
	Entries int      `json:"entries"`
	Pools   []Pool   `json:"pools"`
	// Rate is the weight store's rate in fetches a second.
	Rate int `json:"rate"`
	// Fences makes engines and platform refuse old fencing numbers.
	Fences bool `json:"fences"`
}

// Deployment is a set of running processes. It is safe for concurrent use.
type Deployment struct {
	Plan
	// Dir holds data, settings and logs.
	Dir string
	// Bin and Standin are the programs.
	Bin, Standin string
	// Fixture is the folder that settings are derived from.
	Fixture string
	// Net is the first three bytes of every address, such as "127.0.1".
	Net string
	// Edit changes the settings of the processes before they are written.
	EditControl func(*settings.Control)
	EditEntry   func(*settings.Entry)

	// OwnPlatform tells that the embedder runs the platform itself.
	OwnPlatform bool

	mu    sync.Mutex
	procs map[string]*Process
}

// Process is one running process.
type Process struct {
	Name string
	cmd  *exec.Cmd
	done chan struct{}
	err  error
}

// New reads the plan of a fixture.
func New(dir, bin, standin, fixture, net string) (*Deployment, error) {
	d := &Deployment{Dir: dir, Bin: bin, Standin: standin, Fixture: fixture, Net: net, procs: map[string]*Process{}}
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

// Address returns the address of a process's port.
func (d *Deployment) Address(host, port int) string {
	return fmt.Sprintf("%s.%d:%d", d.Net, host, port)
}

// ControlAddr returns the address of control process i, from 0.
func (d *Deployment) ControlAddr(i int) string { return d.Address(10+i, controlPort) }

// CallerAddr returns the callers' address of entry process i, from 0.
func (d *Deployment) CallerAddr(i int) string { return d.Address(20+i, callerPort) }

// OperatorAddr returns the operators' address of entry process i.
func (d *Deployment) OperatorAddr(i int) string { return d.Address(20+i, operatorPort) }

// PlatformAddr returns the platform's address.
func (d *Deployment) PlatformAddr() string { return d.Address(90, standinPort) }

// StoreAddr returns the weight store's address.
func (d *Deployment) StoreAddr() string { return d.Address(91, standinPort) }

// ServerAddr returns the address of backend server i, counted over all pools.
func (d *Deployment) ServerAddr(i int) string { return d.Address(100+i, standinPort) }

// CallerAddrs returns all callers' addresses.
func (d *Deployment) CallerAddrs() []string {
	var out []string
	for i := range d.Entries {
		out = append(out, d.CallerAddr(i))
	}
	return out
}

// BackendAddrs returns the addresses that announcements go to.
func (d *Deployment) BackendAddrs() []string {
	var out []string
	for i := range d.Entries {
		out = append(out, d.Address(20+i, backendPort))
	}
	return out
}

func (d *Deployment) controlAddrs() []string {
	var out []string
	for i := range d.Control {
		out = append(out, d.ControlAddr(i))
	}
	return out
}

// Start starts a program under a name that is not running.
func (d *Deployment) Start(name, program string, args ...string) (*Process, error) {
	log, err := os.OpenFile(filepath.Join(d.Dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	defer log.Close()
	p := &Process{Name: name, cmd: exec.Command(program, args...), done: make(chan struct{})}
	p.cmd.Stdout, p.cmd.Stderr = log, log
	// A group of its own: the kernel hangs up the stopped processes of a group
	// whose last outside parent ends, such as the shell that started a test run.
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

// Process returns a process by name.
func (d *Deployment) Process(name string) *Process {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.procs[name]
}

// Signal sends a signal.
func (p *Process) Signal(s os.Signal) error { return p.cmd.Process.Signal(s) }

// PID returns the process number.
func (p *Process) PID() int { return p.cmd.Process.Pid }

// Kill ends the process at once and waits for its end.
func (p *Process) Kill() {
	p.cmd.Process.Kill()
	<-p.done
}

// Wait waits for the end of the process and returns its exit error.
func (p *Process) Wait(limit time.Duration) error {
	select {
	case <-p.done:
		return p.err
	case <-time.After(limit):
		return fmt.Errorf("process %s still runs", p.Name)
	}
}

// writeSettings derives settings from the fixture's file of a role.
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

// StartServer starts backend server i, counted over all pools.
func (d *Deployment) StartServer(i int) (*Process, error) {
	n := i
	for _, p := range d.Pools {
		if n >= p.Count {
			n -= p.Count
			continue
		}
		class := "steady"
		if n < p.Cheap {
			class = "cheap"
		}
		args := []string{p.Kind, "--id", fmt.Sprintf("%s-%d", p.Name, n), "--addr", d.ServerAddr(i), "--pool", p.Name,
			"--zone", d.Zones[n%len(d.Zones)], "--class", class, "--bears", fmt.Sprint(p.Bears), "--entries", strings.Join(d.BackendAddrs(), ","),
			"--token", AnnounceToken, "--work", time.Duration(p.Work).String(), "--cold", fmt.Sprint(p.Cold),
			"--delay", time.Duration(p.Delay).String()}
		if p.Kind == "engine" {
			args = append(args, "--store", d.StoreAddr())
			if d.Fences {
				args = append(args, "--fences")
			}
		}
		return d.Start(fmt.Sprintf("%s-%d", p.Name, n), d.Standin, args...)
	}
	return nil, fmt.Errorf("no backend server %d in the plan", i)
}

// Servers returns the number of backend servers.
func (d *Deployment) Servers() int {
	n := 0
	for _, p := range d.Pools {
		n += p.Count
	}
	return n
}

// StartAll starts every process of the plan.
func (d *Deployment) StartAll() error {
	platform := []string{"platform", "--addr", d.PlatformAddr()}
	if d.Fences {
		platform = append(platform, "--fences")
	}
	var err1 error
	if !d.OwnPlatform {
		_, err1 = d.Start("platform", d.Standin, platform...)
	}
	_, err2 := d.Start("weightstore", d.Standin, "weightstore", "--addr", d.StoreAddr(), "--rate", fmt.Sprint(d.Rate))
	if err := errors.Join(err1, err2); err != nil {
		return err
	}
	if err := d.each(d.Control, d.StartControl); err != nil {
		return err
	}
	if err := d.each(d.Entries, d.StartEntry); err != nil {
		return err
	}
	return d.each(d.Servers(), d.StartServer)
}

func (d *Deployment) each(n int, start func(int) (*Process, error)) error {
	for i := range n {
		if _, err := start(i); err != nil {
			return err
		}
	}
	return nil
}

// StopAll ends every process that this deployment started.
func (d *Deployment) StopAll() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, p := range d.procs {
		p.cmd.Process.Kill()
		<-p.done
	}
}

// Await polls until a condition holds. The error names what was waited for.
func Await(what string, holds func() bool) error {
	for deadline := time.Now().Add(readyTimeout); time.Now().Before(deadline); {
		if holds() {
			return nil
		}
		time.Sleep(20 * time.Millisecond)
	}
	return fmt.Errorf("waited %s for: %s", readyTimeout, what)
}

// Ready reports whether entry process i takes requests.
func (d *Deployment) Ready(i int) bool {
	res, err := probe.Get("http://" + d.CallerAddr(i) + "/readyz")
	if err != nil {
		return false
	}
	res.Body.Close()
	return res.StatusCode == http.StatusOK
}

var probe = &http.Client{Timeout: time.Second}

// AwaitReady waits until every entry process takes requests.
func (d *Deployment) AwaitReady() error {
	return Await("every entry host to be ready", func() bool {
		for i := range d.Entries {
			if !d.Ready(i) {
				return false
			}
		}
		return true
	})
}

// CLI runs an operator's command against entry process 0 and returns what it
// printed.
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
