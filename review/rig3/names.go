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
	// idleTime is the time at no worker that the rule LOST names.
	idleTime = 5 * time.Second
)

// numberedConfig returns a configuration whose routes are named by their positions. The first of the three is a
// plain route that the next version does not have.
func numberedConfig(version int, withFirst bool) map[string]any {
	c := config(version)
	routes := c["routes"].([]map[string]any)
	if withFirst {
		first := maps.Clone(routes[1])
		first["path_prefix"] = "/akb220/"
		routes = slices.Insert(routes, 0, first)
	}
	for i, r := range routes {
		r["name"] = fmt.Sprintf("r-%d", i+1)
	}
	c["routes"] = routes
	return c
}

// runLog holds when each request last began to run.
type runLog struct {
	mu   sync.Mutex
	runs map[string]time.Time
}

func (l *runLog) add(rec *record, worker string) func(string, *http.Request) {
	return func(id string, r *http.Request) {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.runs[id] = time.Now()
		rec.add("run", "request", id, "worker", worker, "path", r.URL.Path)
	}
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
	time.Sleep(2*time.Second + contact) // config_apply_ms, and steady state
	runs := &runLog{runs: map[string]time.Time{}}
	for _, w := range workers {
		w.mu.Lock()
		w.events, w.pause, w.onRun = 5, 400*time.Millisecond, runs.add(s.rec, w.id)
		w.mu.Unlock()
	}
	begin := time.Now()
	if !s.submit("step", namesItems, 3*time.Second) {
		return errors.New("the step was not accepted")
	}
	time.Sleep(time.Second)
	if trouble {
		if status, _ := s.operate(http.MethodPost, "/v1/config/put", numberedConfig(3, false), 5*time.Second); status != http.StatusOK {
			return errors.New("the third configuration was not accepted")
		}
	}
	results, _ := s.readAll("step", namesItems, time.Until(begin.Add(stepTime)))
	begun := runs.len()
	s.rec.add("end of the step", "begun", begun, "of", namesItems, "results", results)
	if !trouble || results == namesItems {
		if results < namesItems {
			return errors.New("the step was not run")
		}
		return nil
	}
	// A new step on the same path shows that the workers and the route are well.
	if !s.submit("next", 8, 3*time.Second) {
		return errors.New("the next step was not accepted")
	}
	next, _ := s.readAll("next", 8, stepTime)
	results, _ = s.readAll("step", namesItems, 10*time.Second)
	idle := time.Since(begin) > stepTime+idleTime
	if results < namesItems && begun > 0 && next == 8 && idle {
		return fmt.Errorf("%w: LOST: the step ran out of time with %d of %d items at no worker, and %d of 8 items of the next step were run meanwhile",
			errBroken, namesItems-begun, namesItems, next)
	}
	return nil
}

func (l *runLog) has(id string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	_, ok := l.runs[id]
	return ok
}
