package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Ports of every host; each host has its own loopback address.
const (
	portFront    = 8167
	portReady    = 8162
	portControl  = 8169
	portInternal = 7640
)

// Bounds of the users' pages that the cases use.
const (
	catchUp   = 4400 * time.Millisecond
	contact   = 3 * time.Second
	heartbeat = 1200 * time.Millisecond
)

var zoneNames = []string{"lahore", "multan", "faisalabad"}

// host is one machine of the deployment and the process that runs there.
type host struct {
	name, role, class, serves, zone, ip, dir string

	mu  sync.Mutex
	cmd *exec.Cmd
	// ended is closed when the process has ended.
	ended chan struct{}
	log   *logBuffer
}

// site is a small deployment of processes on loopback addresses.
type site struct {
	rec    *record
	prefix string
	dir    string
	hosts  map[string]*host
	seeds  []string
	// cloud is the address of the platform's stand-in.
	cloud string
}

// newSite returns a site with five core, three storage and three edge hosts that are not started.
func newSite(rec *record) (*site, error) {
	dir, err := os.MkdirTemp("", "review3-")
	if err != nil {
		return nil, err
	}
	s := &site{rec: rec, dir: dir, hosts: map[string]*host{}}
	for range 50 {
		s.prefix = fmt.Sprintf("127.%d.%d", 20+rand.IntN(200), 1+rand.IntN(250))
		if l, err := net.Listen("tcp4", net.JoinHostPort(s.prefix+".1", fmt.Sprint(portControl))); err == nil {
			l.Close()
			break
		}
	}
	for i := range 5 {
		s.addHost("core", i%3, i/3+1)
	}
	for i := range 3 {
		s.addHost("storage", i, 1)
		s.addHost("edge", i, 1)
	}
	for i := range 3 {
		s.seeds = append(s.seeds, s.hosts["core-"+zoneNames[i]+"-1"].ip+fmt.Sprintf(":%d", portControl))
	}
	return s, nil
}

func (s *site) addHost(class string, zone, n int) *host {
	base := map[string]int{"core": 10, "storage": 40, "edge": 70}[class]
	h := &host{class: class, zone: zoneNames[zone], name: fmt.Sprintf("%s-%s-%d", class, zoneNames[zone], n),
		ip: fmt.Sprintf("%s.%d", s.prefix, base+zone*8+n)}
	h.role = map[string]string{"core": "control", "storage": "store", "edge": "entry"}[class]
	h.serves = map[string]string{"core": "control_plane", "storage": "storage", "edge": "edge"}[class]
	h.dir = filepath.Join(s.dir, h.name)
	s.hosts[h.name] = h
	return h
}

// of returns the hosts of a class.
func (s *site) of(class string) (out []*host) {
	for _, z := range zoneNames {
		for n := 1; n < 4; n++ {
			if h := s.hosts[fmt.Sprintf("%s-%s-%d", class, z, n)]; h != nil {
				out = append(out, h)
			}
		}
	}
	return out
}

// fields returns the settings of a host as the users' pages list them.
func (s *site) fields(h *host, bootstrap bool) map[string]any {
	memory := map[string]int{"core": 280, "storage": 304, "edge": 284}[h.class]
	f := map[string]any{"node": h.name, "role": h.role, "zone": h.zone, "ip": h.ip, "internal_ports": []int{portInternal, portInternal + 15},
		"seeds": s.seeds, "bootstrap": bootstrap, "limits.memory_mb": memory, "fault_tolerance.machines": 1, "bounds.lease_ms": 3000,
		"bounds.fencing_enforced": true, "bounds.grace_s": 8, "bounds.usage_window_s": 5, "bounds.status_s": 120, "cloud.addr": s.cloud,
		"cloud.rate_per_s": 50.0}
	if h.class == "edge" {
		f["listen.front"], f["listen.ready"] = fmt.Sprintf("%s:%d", h.ip, portFront), fmt.Sprintf("%s:%d", h.ip, portReady)
	} else {
		f["data_dir"] = filepath.Join(h.dir, "data")
	}
	if h.class == "core" {
		f["listen.control"] = fmt.Sprintf("%s:%d", h.ip, portControl)
	}
	return f
}

var placeholder = regexp.MustCompile(`\{\{([a-z_.]+)(\|json)?\}\}`)

// render fills in the project's settings template.
func render(template []byte, f map[string]any) []byte {
	return placeholder.ReplaceAllFunc(template, func(p []byte) []byte {
		m := placeholder.FindSubmatch(p)
		v, ok := f[string(m[1])]
		if !ok {
			return nil
		}
		if len(m[2]) == 0 {
			return []byte(fmt.Sprint(v))
		}
		data, err := json.Marshal(v)
		if err != nil {
			return nil
		}
		return data
	})
}

// start starts the process of a host with the command of the deploy file.
func (s *site) start(h *host, bootstrap bool) error {
	template, err := os.ReadFile("deploy/site.json")
	if err != nil {
		return err
	}
	if err := os.MkdirAll(filepath.Join(h.dir, "data"), 0o700); err != nil {
		return err
	}
	file := filepath.Join(h.dir, "local.conf")
	if err := os.WriteFile(file, render(template, s.fields(h, bootstrap)), 0o600); err != nil {
		return err
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.log = &logBuffer{}
	h.cmd = exec.Command("target/plantainbank", "site", h.role)
	h.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + h.dir, "PLANTAINBANK_NODE_FILE=" + file}
	h.cmd.Stdout, h.cmd.Stderr = h.log, h.log
	h.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := h.cmd.Start(); err != nil {
		return err
	}
	h.ended = make(chan struct{})
	go func(cmd *exec.Cmd, ended chan struct{}) {
		_ = cmd.Wait() // the exit status is that of the signal which the case sends
		close(ended)
	}(h.cmd, h.ended)
	s.rec.add("start", "host", h.name, "ip", h.ip, "pid", h.cmd.Process.Pid, "bootstrap", bootstrap)
	return nil
}

// startAll starts all hosts for the first time.
func (s *site) startAll() error {
	for _, class := range []string{"core", "storage", "edge"} {
		for _, h := range s.of(class) {
			if err := s.start(h, true); err != nil {
				return err
			}
		}
	}
	return nil
}

// signal sends a signal to the process of a host.
func (s *site) signal(h *host, sig syscall.Signal) {
	s.rec.add("signal", "host", h.name, "signal", sig.String())
	if err := h.cmd.Process.Signal(sig); err != nil {
		s.rec.add("signal failed", "host", h.name, "error", err)
	}
}

// await waits until the process of a host has ended and reports whether it has.
func (h *host) await(d time.Duration) bool {
	select {
	case <-h.ended:
		return true
	case <-time.After(d):
		return false
	}
}

// wipe removes the data directory of a host whose process has ended.
func (s *site) wipe(h *host) error {
	s.rec.add("disk lost", "host", h.name)
	return os.RemoveAll(filepath.Join(h.dir, "data"))
}

// close ends all processes and removes the temporary folder.
func (s *site) close() {
	for _, h := range s.hosts {
		if h.cmd != nil && h.cmd.Process != nil {
			_ = h.cmd.Process.Signal(syscall.SIGCONT) // it may have ended
			_ = h.cmd.Process.Kill()
			h.await(5 * time.Second)
		}
	}
	if os.Getenv("KEEP") != "" {
		for _, h := range s.hosts {
			if h.log != nil {
				_ = os.WriteFile(filepath.Join(os.Getenv("KEEP"), h.name+".log"), h.log.bytes(), 0o600)
			}
		}
	}
	_ = os.RemoveAll(s.dir)
}

// logBuffer holds what a process has written.
type logBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

// Write appends output.
func (b *logBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.Write(p)
}

func (b *logBuffer) bytes() []byte {
	b.mu.Lock()
	defer b.mu.Unlock()
	return bytes.Clone(b.buf.Bytes())
}

// storeLeader returns the storage host that has last said that it drives the batches.
func (s *site) storeLeader() *host { return s.lastToSay("storage", "driving batches") }

// controlLeader returns the core host that has last said that it leads.
func (s *site) controlLeader() *host { return s.lastToSay("core", "leadership established") }

// lastToSay returns the host of a class whose log has the latest line with a message.
func (s *site) lastToSay(class, message string) *host {
	var last *host
	latest := ""
	for _, h := range s.of(class) {
		if h.log == nil {
			continue
		}
		for _, line := range strings.Split(string(h.log.bytes()), "\n") {
			i := strings.Index(line, `"time":"`)
			if i >= 0 && strings.Contains(line, `"msg":"`+message+`"`) && line[i:] > latest {
				latest, last = line[i:], h
			}
		}
	}
	return last
}

// record is the file that says what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	begin time.Time
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	return &record{file: f, begin: time.Now()}, err
}

// add writes a line: the time since the start, what happened, and names with values.
func (r *record) add(what string, pairs ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%8.3f %s", time.Since(r.begin).Seconds(), what)
	for i := 0; i+1 < len(pairs); i += 2 {
		line += fmt.Sprintf(" %v=%v", pairs[i], pairs[i+1])
	}
	fmt.Fprintln(r.file, line)
	fmt.Println(line)
}
