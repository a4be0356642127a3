// Command platform, built as standin2, plays one case of the second independent review: it starts a small deployment on loopback
// addresses, with stand-ins for callers, servers, the operator and the platform, and checks one rule.
//
//	standin2 CASE RECORD
//
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. With TROUBLE=0 in the
// environment the disruption is left out.
package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"
)

// record is what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	start time.Time
	file  *os.File
}

func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f ", time.Since(r.start).Seconds())
	fmt.Fprintf(r.file, format+"\n", args...)
}

// testCase plays a case on a deployment that is ready, and returns how the rule was broken, empty if it held.
type testCase struct {
	entries int
	// memory replaces the memory limits of the processes, if it is set.
	memory  map[string]int
	config  map[string]any
	servers func(d *deployment) error
	play    func(d *deployment) (broken string, err error)
}

var cases = map[string]func(trouble bool) testCase{}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin2 CASE RECORD")
		os.Exit(2)
	}
	f, err := os.Create(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	rec := &record{start: time.Now(), file: f}
	trouble := os.Getenv("TROUBLE") != "0"
	rec.add("case %s, trouble %v", os.Args[1], trouble)
	broken, err := run(rec, cases[os.Args[1]](trouble))
	switch {
	case err != nil:
		rec.add("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	case broken != "":
		rec.add("BROKEN: %s", broken)
		fmt.Println("BROKEN:", broken)
		os.Exit(1)
	}
	rec.add("held")
	fmt.Println("held")
}

func run(rec *record, c testCase) (broken string, err error) {
	d, err := newDeployment(rec, c.entries)
	if err != nil {
		return "", err
	}
	defer d.stop()
	go d.stopEarly()
	if c.memory != nil {
		d.memory = c.memory
	}
	if err := startPlatform(d); err != nil {
		return "", err
	}
	if err := d.startAll(); err != nil {
		return "", err
	}
	if err := d.operate("POST", "/v1/config/put", c.config); err != nil {
		return "", err
	}
	if err := c.servers(d); err != nil {
		return "", err
	}
	if err := d.awaitReady(); err != nil {
		return "", err
	}
	time.Sleep(4 * time.Second) // the first report of all servers has reached all hosts
	return c.play(d)
}

// maxTime bounds a case.
const maxTime = 115 * time.Second

// stopEarly ends a case that takes too long, or that is told to end.
func (d *deployment) stopEarly() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	select {
	case <-signals:
	case <-time.After(maxTime):
	}
	d.rec.add("the case was stopped")
	d.stop()
	os.Exit(2)
}

// startPlatform accepts all usage reports.
func startPlatform(d *deployment) error {
	lis, err := net.Listen("tcp4", fmt.Sprintf("%s:%d", d.ip(41), portPlatform))
	if err != nil {
		return err
	}
	go func() {
		_ = http.Serve(lis, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) }))
	}()
	return nil
}

// config returns a configuration with one plain service, one of model engines, and routes to them.
func config(version int, routes ...map[string]any) map[string]any {
	return map[string]any{"version": version, "routes": routes,
		"services": []map[string]any{
			{"name": "counter", "health_path": "/healthz", "max_conns": 100, "protocol": "h1", "tls": false, "cold_start_s": 0.0, "cold_per_s": 0.0},
			{"name": "proofer", "health_path": "/healthz", "max_conns": 150, "protocol": "h1", "tls": false, "cold_start_s": 3.0, "cold_per_s": 13.0,
				"engine": map[string]any{"slots": 12, "kv_capacity_tokens": 42584, "kv_token_bytes": 18432, "link_mbps": 700000.0, "moves": true,
					"backups": true, "stride": 55, "most": 12, "pin_ms": 4000.0, "hold_ms": 2000.0, "handle_s": 5.0, "models": []map[string]any{{"name": "m0"}}}}},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 33554432, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []map[string]any{{"name": "tenant1", "api_keys": []string{"key1"}, "priority": 1}, {"name": "tenant2", "api_keys": []string{"key2"}, "priority": 1}}}
}

func route(name, prefix, kind, service string, more map[string]any) map[string]any {
	m := map[string]any{"name": name, "host": "h.example", "path_prefix": prefix, "route_type": kind, "timeout_ms": 10000, "target_latency_ms": 1500,
		"priority": 1, "service": service, "max_attempts": 2, "public": false}
	for k, v := range more {
		m[k] = v
	}
	return m
}
