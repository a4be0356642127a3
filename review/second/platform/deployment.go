package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// Ports of the processes. Each process has a loopback address of its own.
const (
	portFront    = 8167
	portReady    = 8162
	portControl  = 8169
	portInternal = 7640
	portMetrics  = 9151
	portServer   = 8080
	portPlatform = 8161
)

// process is one process of the system.
type process struct {
	role, name, ip string
	file, data     string
	bootstrap      bool
	cmd            *exec.Cmd
	done           chan struct{}
}

// deployment is a small deployment on loopback addresses: three control, three store and some entry
// processes, started with the commands of the deploy file.
type deployment struct {
	dir, prefix string
	program     string
	control     []*process
	store       []*process
	entry       []*process
	rec         *record
	// memory is the memory limit of the processes in MB, by role.
	memory map[string]int
}

// addr returns an address of a process.
func (p *process) addr(port int) string { return net.JoinHostPort(p.ip, strconv.Itoa(port)) }

// all returns all processes.
func (d *deployment) all() []*process {
	var out []*process
	out = append(out, d.control...)
	out = append(out, d.store...)
	return append(out, d.entry...)
}

// newDeployment prepares a deployment in a temporary folder, on addresses that are free.
func newDeployment(rec *record, entries int) (*deployment, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	d := &deployment{dir: dir, rec: rec, program: os.Getenv("PROGRAM"), memory: map[string]int{"entry": 284, "control": 280, "store": 304}}
	if d.program == "" {
		d.program = "target/plantainbank"
	}
	for try := 0; ; try++ {
		d.prefix = fmt.Sprintf("127.%d.%d.", 20+(os.Getpid()+try)%200, 1+(os.Getpid()/200+try)%250)
		if free(d.prefix + "1") {
			break
		}
		if try == 50 {
			return nil, fmt.Errorf("no free loopback addresses")
		}
	}
	zones := []string{"lahore", "multan", "faisalabad"}
	for i := range 3 {
		d.control = append(d.control, &process{role: "control", name: "core-" + zones[i] + "-1", ip: d.ip(1 + i), bootstrap: true})
		d.store = append(d.store, &process{role: "store", name: "storage-" + zones[i] + "-1", ip: d.ip(11 + i), bootstrap: true})
	}
	for i := range entries {
		d.entry = append(d.entry, &process{role: "entry", name: fmt.Sprintf("edge-%s-%d", zones[i%3], 1+i/3), ip: d.ip(21 + i), bootstrap: true})
	}
	for _, p := range d.all() {
		p.file, p.data = filepath.Join(dir, p.name+".json"), filepath.Join(dir, p.name)
		if err := os.MkdirAll(p.data, 0o755); err != nil {
			return nil, err
		}
	}
	return d, nil
}

func free(ip string) bool {
	l, err := net.Listen("tcp4", fmt.Sprintf("%s:%d", ip, portControl))
	if err != nil {
		return false
	}
	l.Close()
	return true
}

func (d *deployment) ip(n int) string { return fmt.Sprint(d.prefix, n) }

func (d *deployment) controlAddrs() []string {
	var out []string
	for _, p := range d.control {
		out = append(out, fmt.Sprintf("%s:%d", p.ip, portControl))
	}
	return out
}

// settings returns the settings file of a process: deploy/site.json with the values of a small deployment.
func (d *deployment) settings(p *process) []byte {
	zone := strings.Split(p.name, "-")[1]
	m := map[string]any{"role": p.role, "host": p.name, "zone": zone, "ip": p.ip, "ports": []int{portInternal, portInternal + 15},
		"seeds": d.controlAddrs(), "bootstrap": p.bootstrap, "memory": d.memory[p.role], "tolerate": 1, "metrics": fmt.Sprintf("%s:%d", p.ip, portMetrics),
		"bounds":     map[string]any{"lease": 3000, "fenced": true, "grace": 8000, "window": 5000, "keep": 120000},
		"platform":   map[string]any{"addr": fmt.Sprintf("%s:%d", d.ip(41), portPlatform), "rate": 50.0},
		"scheduling": map[string]any{"speeds": true, "fair": true, "refuse": true, "prompts": 768},
		"plain":      map[string]any{"share": true}, "logs": map[string]any{"level": "info"}}
	switch p.role {
	case "entry":
		m["callers"], m["ready"] = fmt.Sprintf("%s:%d", p.ip, portFront), fmt.Sprintf("%s:%d", p.ip, portReady)
	case "control":
		m["operators"], m["data"] = fmt.Sprintf("%s:%d", p.ip, portControl), p.data
	default:
		m["data"] = p.data
	}
	data, err := json.MarshalIndent(m, "", "  ")
	if err != nil {
		panic(err)
	}
	return data
}

// start starts a process with the command of the deploy file.
func (d *deployment) start(p *process) error {
	if err := os.WriteFile(p.file, d.settings(p), 0o644); err != nil {
		return err
	}
	out, err := os.OpenFile(filepath.Join(d.dir, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	p.bootstrap = false
	p.cmd = exec.Command(d.program, "site", p.role)
	p.cmd.Env = append(os.Environ(), "PLANTAINBANK_NODE_FILE="+p.file)
	p.cmd.Stdout, p.cmd.Stderr = out, out
	if err := p.cmd.Start(); err != nil {
		return err
	}
	p.done = make(chan struct{})
	go func(cmd *exec.Cmd, done chan struct{}) {
		_ = cmd.Wait()
		out.Close()
		close(done)
	}(p.cmd, p.done)
	return nil
}

func (d *deployment) startAll() error {
	for _, p := range d.all() {
		if err := d.start(p); err != nil {
			return err
		}
	}
	return nil
}

func (d *deployment) signal(p *process, s syscall.Signal) {
	d.rec.add("signal %v to %s", s, p.name)
	_ = p.cmd.Process.Signal(s)
}

// stop ends all processes that were started.
func (d *deployment) stop() {
	for _, p := range d.all() {
		if p.cmd != nil && p.cmd.Process != nil {
			_ = p.cmd.Process.Signal(syscall.SIGCONT)
			_ = p.cmd.Process.Kill()
			<-p.done
		}
	}
	if os.Getenv("KEEP") == "" {
		os.RemoveAll(d.dir)
	}
}

// operate sends an operator's call until it has a clear answer.
func (d *deployment) operate(method, path string, body any) error {
	data, err := json.Marshal(body)
	if err != nil {
		return err
	}
	client := &http.Client{Timeout: time.Second}
	last := "no answer"
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		for _, addr := range d.controlAddrs() {
			req, err := http.NewRequest(method, "http://"+addr+path, bytes.NewReader(data))
			if err != nil {
				return err
			}
			res, err := client.Do(req)
			if err != nil {
				last = err.Error()
				continue
			}
			text, _ := io.ReadAll(res.Body)
			res.Body.Close()
			if last = fmt.Sprint(res.StatusCode, " ", string(text)); res.StatusCode == 200 {
				d.rec.add("operator %s %s -> 200", method, path)
				return nil
			}
		}
	}
	return fmt.Errorf("%s %s: %s", method, path, last)
}

// awaitReady waits until all entry processes say that they are ready.
func (d *deployment) awaitReady() error {
	client := &http.Client{Timeout: time.Second}
	for _, p := range d.entry {
		ok := false
		for end := time.Now().Add(20 * time.Second); !ok && time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
			res, err := client.Get(fmt.Sprintf("http://%s:%d/v1/readyz", p.ip, portReady))
			if err == nil {
				ok = res.StatusCode == 200
				res.Body.Close()
			}
		}
		if !ok {
			return fmt.Errorf("%s is not ready", p.name)
		}
	}
	return nil
}
