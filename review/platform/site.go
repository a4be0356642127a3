package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Ports of the processes. Each process has a loopback address of its own.
const (
	portInternal = 7640
	portControl  = 8169
	portFront    = 8167
	portReady    = 8162
	portPlatform = 8161
	portServer   = 8080
)

// program is built by the deploy file; its commands there are "PROGRAM site ROLE".
const program = "target/plantainbank"

// templateFile is the settings template that the deploy file names.
const templateFile = "deploy/site.json"

// siteSize is the number of processes and the limits of a small deployment.
type siteSize struct {
	control, store, entry int
	entryMB               int
	// entryFDs is the number of descriptors of an entry process, zero for that of this process.
	entryFDs int
}

// limited is the same with the descriptors that the pages give an edge machine.
var limited = siteSize{control: 5, store: 3, entry: 3, entryMB: 284, entryFDs: 4100}

// rahbar is the Rahbar Laminate deployment with one entry host in each zone.
var rahbar = siteSize{control: 5, store: 3, entry: 3, entryMB: 284}

var zones = []string{"lahore", "multan", "faisalabad"}

// Bounds of the Rahbar Laminate deployment.
const (
	contactTime = 3 * time.Second
	drainTime   = 2 * time.Second
	graceTime   = 8 * time.Second
)

// site is a running deployment.
type site struct {
	rec     *record
	size    siteSize
	prefix  string
	dir     string
	mu      sync.Mutex
	procs   map[string]*process
	stopped bool
	// ends counts the processes that ended by themselves, by name.
	ends map[string]int
	wg   sync.WaitGroup
}

// process is one process of the deployment.
type process struct {
	name, role string
	cmd        *exec.Cmd
	// expected is set before the case ends the process.
	expected bool
	// rest holds back the restart of a process that the case has killed.
	rest chan struct{}
	done chan struct{}
}

func startSite(rec *record, size siteSize) (*site, error) {
	if _, err := os.Stat(program); err != nil {
		return nil, err
	}
	prefix, err := freePrefix()
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	s := &site{rec: rec, size: size, prefix: prefix, dir: dir, procs: map[string]*process{}, ends: map[string]int{}}
	for role, n := range map[string]int{"control": size.control, "store": size.store, "entry": size.entry} {
		for i := range n {
			if err := s.start(role, i, true); err != nil {
				s.stop()
				return nil, err
			}
		}
	}
	return s, nil
}

// freePrefix returns the first three numbers of a loopback network on which nothing listens.
func freePrefix() (string, error) {
	for range 50 {
		prefix := fmt.Sprintf("127.%d.%d", 64+rand.IntN(128), rand.IntN(250))
		lis, err := net.Listen("tcp", prefix+".10:"+fmt.Sprint(portControl))
		if err != nil {
			continue
		}
		lis.Close()
		return prefix, nil
	}
	return "", errors.New("found no free loopback network")
}

func (s *site) ip(role string, i int) string {
	return fmt.Sprintf("%s.%d", s.prefix, map[string]int{"control": 10, "store": 20, "entry": 30, "platform": 40, "server": 50}[role]+i)
}

func (s *site) addr(role string, i, port int) string {
	return fmt.Sprintf("%s:%d", s.ip(role, i), port)
}

func (s *site) controlAddrs() []string {
	var out []string
	for i := range s.size.control {
		out = append(out, s.addr("control", i, portControl))
	}
	return out
}

func name(role string, i int) string { return fmt.Sprintf("%s-%d", role, i) }

var placeholder = regexp.MustCompile(`\{\{([a-z_.]+)(\|json)?\}\}`)

// writeSettings fills in the template as the platform does.
func (s *site) writeSettings(role string, i int, bootstrap bool) (string, error) {
	text, err := os.ReadFile(templateFile)
	if err != nil {
		return "", err
	}
	values := map[string]any{"role": role, "node": name(role, i), "zone": zones[i%len(zones)], "ip": s.ip(role, i),
		"internal_ports": []int{portInternal, portInternal + 15}, "seeds": s.controlAddrs()[:3], "bootstrap": bootstrap,
		"limits.memory_mb": map[string]int{"control": 280, "store": 304, "entry": s.size.entryMB}[role], "fault_tolerance.machines": 1,
		"bounds.lease_ms": 3000, "bounds.fencing_enforced": true, "bounds.grace_s": 8, "bounds.usage_window_s": 5, "bounds.status_s": 120,
		"cloud.addr": s.addr("platform", 0, portPlatform), "cloud.rate_per_s": 50}
	switch role {
	case "entry":
		values["listen.front"], values["listen.ready"] = s.addr(role, i, portFront), s.addr(role, i, portReady)
	case "control":
		values["listen.control"] = s.addr(role, i, portControl)
	}
	if role != "entry" {
		values["data_dir"] = filepath.Join(s.dir, name(role, i)+".data")
	}
	filled := placeholder.ReplaceAllStringFunc(string(text), func(m string) string {
		parts := placeholder.FindStringSubmatch(m)
		v, ok := values[parts[1]]
		switch {
		case parts[2] != "":
			data, _ := json.Marshal(v)
			return string(data)
		case !ok:
			return ""
		}
		return fmt.Sprint(v)
	})
	file := filepath.Join(s.dir, name(role, i)+".conf")
	return file, os.WriteFile(file, []byte(filled), 0o600)
}

// start starts a process, which is restarted after a short delay when it ends.
func (s *site) start(role string, i int, bootstrap bool) error {
	file, err := s.writeSettings(role, i, bootstrap)
	if err != nil {
		return err
	}
	n := name(role, i)
	out, err := os.OpenFile(filepath.Join(s.dir, n+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer out.Close()
	cmd := exec.Command(program, "site", role)
	if role == "entry" && s.size.entryFDs > 0 {
		cmd = exec.Command("sh", "-c", `ulimit -n "$0" && exec "$@"`, fmt.Sprint(s.size.entryFDs), program, "site", role)
	}
	// A machine of the pages reports one core.
	cmd.Env = append(os.Environ(), "PLANTAINBANK_NODE_FILE="+file, "GOMAXPROCS=1")
	cmd.Stdout, cmd.Stderr = out, out
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopped {
		return nil
	}
	if err := cmd.Start(); err != nil {
		return err
	}
	p := &process{name: n, role: role, cmd: cmd, done: make(chan struct{})}
	s.procs[n] = p
	s.rec.add(n, "started, pid %d", cmd.Process.Pid)
	s.wg.Go(func() { s.watch(p, role, i) })
	return nil
}

// restartDelay is the short delay after which the platform restarts a process that has ended.
const restartDelay = 500 * time.Millisecond

func (s *site) watch(p *process, role string, i int) {
	err := p.cmd.Wait()
	close(p.done)
	s.mu.Lock()
	expected, stopped, rest := p.expected, s.stopped, p.rest
	if !expected && !stopped {
		s.ends[p.name]++
	}
	s.mu.Unlock()
	if stopped {
		return
	}
	if expected {
		s.rec.add(p.name, "ended as told: %v", err)
	} else {
		s.rec.add(p.name, "ENDED BY ITSELF: %v", err)
	}
	if rest != nil {
		<-rest
	} else {
		time.Sleep(restartDelay)
	}
	if err := s.start(role, i, false); err != nil {
		s.rec.add(p.name, "could not restart: %v", err)
	}
}

// signal sends a signal to a process. The process counts as ended by the case from then on if it
// ends; rest, if it is not nil, holds back its restart.
func (s *site) signal(n string, sig syscall.Signal, rest chan struct{}) *process {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.procs[n]
	if sig == syscall.SIGKILL || sig == syscall.SIGTERM {
		p.expected, p.rest = true, rest
	}
	_ = p.cmd.Process.Signal(sig)
	s.rec.add("platform", "sends %v to %s", sig, n)
	return p
}

// peakMemory returns the most memory that a process has had.
func (s *site) peakMemory(n string) string {
	s.mu.Lock()
	pid := s.procs[n].cmd.Process.Pid
	s.mu.Unlock()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return err.Error()
	}
	for line := range strings.Lines(string(text)) {
		if value, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			return strings.TrimSpace(value)
		}
	}
	return "an unknown amount"
}

// ownEnds returns how often each process has ended by itself.
func (s *site) ownEnds() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := map[string]int{}
	for n, c := range s.ends {
		out[n] = c
	}
	return out
}

// stop ends all processes and removes the folder.
func (s *site) stop() {
	s.mu.Lock()
	if s.stopped {
		s.mu.Unlock()
		return
	}
	s.stopped = true
	all := make([]*process, 0, len(s.procs))
	for _, p := range s.procs {
		_ = p.cmd.Process.Kill()
		all = append(all, p)
	}
	s.mu.Unlock()
	for _, p := range all {
		<-p.done
	}
	if os.Getenv("KEEP") == "" {
		os.RemoveAll(s.dir)
	} else {
		fmt.Println(s.dir)
	}
}

// waitFor waits until a condition holds.
func waitFor(what string, limit time.Duration, condition func() bool) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if condition() {
			return nil
		}
	}
	return fmt.Errorf("timed out waiting for %s", what)
}

// controlClient makes the calls of operators, trainers and servers. They follow a 307 twice.
var controlClient = &http.Client{Timeout: time.Second, CheckRedirect: func(_ *http.Request, via []*http.Request) error {
	if len(via) > 2 {
		return errors.New("redirected more than twice")
	}
	return nil
}}

// callControl sends a call to the control processes in turn until one answers it with 2xx.
func (s *site) callControl(who, method, path, body string) error {
	last := "no answer"
	for n := range 60 {
		addr := s.controlAddrs()[n%s.size.control]
		status, err := controlCall(method, "http://"+addr+path, body)
		if err == nil && status < 300 {
			s.rec.add(who, "%s %s to %s: %d", method, path, addr, status)
			return nil
		}
		last = fmt.Sprintf("%d %v", status, err)
		if err == nil && status >= 400 && status < 500 && status != 404 {
			break
		}
		time.Sleep(200 * time.Millisecond)
	}
	return fmt.Errorf("%s %s: %s", method, path, last)
}

func controlCall(method, url, body string) (status int, err error) {
	req, err := http.NewRequest(method, url, strings.NewReader(body))
	if err != nil {
		return 0, err
	}
	req.Header.Set("Content-Type", "application/json")
	res, err := controlClient.Do(req)
	if err != nil {
		return 0, err
	}
	res.Body.Close()
	return res.StatusCode, nil
}
