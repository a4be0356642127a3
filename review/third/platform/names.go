package main

import (
	"errors"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"sync"
	"time"
)

// Sizes and times of routeNamesMove.
const (
	namesItems = 60
	// stepTime is the time after which a trainer gives up a step.
	stepTime = 12 * time.Second
	// otherService is the service of the second rollout route.
	otherService = "zeta77c"
)

// numberedConfig returns a configuration whose routes are named by their positions: a plain route that the next version
// does not have, if withFirst, then the rollout routes of two services, and a plain route.
func numberedConfig(version int, withFirst bool) map[string]any {
	c := config(version)
	routes, services := c["routes"].([]map[string]any), c["services"].([]map[string]any)
	first, other, service := maps.Clone(routes[1]), maps.Clone(routes[0]), maps.Clone(services[0])
	first["path_prefix"] = "/akb220/"
	other["path_prefix"], other["service"] = "/zemi416/", otherService
	service["name"] = otherService
	routes = []map[string]any{first, routes[0], other, routes[1]}
	if !withFirst {
		routes = routes[1:]
	}
	for i, r := range routes {
		r["name"] = fmt.Sprintf("r-%d", i+1)
	}
	c["routes"], c["services"] = routes, append(slices.Clone(services), service)
	return c
}

// runLog holds when each request last began to run.
type runLog struct {
	mu   sync.Mutex
	runs map[string]time.Time
}

func (l *runLog) add(rec *record, w *worker) func(string, *http.Request) {
	return func(id string, r *http.Request) {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.runs[id] = time.Now()
		rec.add("run", "request", id, "worker", w.id, "service", w.service, "path", r.URL.Path)
	}
}

func (l *runLog) has(id string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	_, ok := l.runs[id]
	return ok
}

func (l *runLog) len() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.runs)
}

// routeNamesMove changes the configuration while a step is at work: a route is removed, and the routes behind it,
// which are named by their positions, get other names. Hosts, paths and services of the others stay.
func routeNamesMove(s *site, trouble bool) error {
	workers, err := s.begin(2, 1)
	if err != nil {
		return err
	}
	if status, _ := s.operate(http.MethodPost, "/v1/config/put", numberedConfig(2, true), 10*time.Second); status != http.StatusOK {
		return errors.New("the second configuration was not accepted")
	}
	foreign, err := s.newWorker("i-5bd0c47a", otherService, model, 1, 3)
	if err != nil {
		return err
	}
	time.Sleep(2*time.Second + contact) // config_apply_ms, and steady state
	own, wrong := &runLog{runs: map[string]time.Time{}}, &runLog{runs: map[string]time.Time{}}
	for _, w := range append(workers, foreign) {
		w.mu.Lock()
		w.events, w.pause, w.onRun = 5, 400*time.Millisecond, own.add(s.rec, w)
		if w == foreign {
			w.onRun = wrong.add(s.rec, w)
		}
		w.mu.Unlock()
	}
	if !s.submit("step", namesItems, 3*time.Second) {
		return errors.New("the step was not accepted")
	}
	time.Sleep(time.Second)
	if trouble {
		if status, _ := s.operate(http.MethodPost, "/v1/config/put", numberedConfig(3, false), 5*time.Second); status != http.StatusOK {
			return errors.New("the third configuration was not accepted")
		}
	}
	results, _ := s.readAll("step", namesItems, stepTime)
	s.rec.add("end of the step", "results", results, "run at its service", own.len(), "run at "+otherService, wrong.len())
	switch {
	case wrong.len() > 0:
		return fmt.Errorf("%w: ROUTE: %d of %d items on the path /pufi791/ were run by service %s", errBroken, wrong.len(), namesItems, otherService)
	case results < namesItems:
		return errors.New("the step was not run")
	}
	return nil
}
