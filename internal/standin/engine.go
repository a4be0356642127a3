package standin

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"strconv"
	"time"

	"github.com/plantainbank/plantainbank/pkg/connection/announce"
	"github.com/plantainbank/plantainbank/pkg/request/attempt"
)

// EngineConfig is the configuration of an engine.
type EngineConfig struct {
	Base
	// TokenTime is the time to generate one token.
	TokenTime time.Duration
	// WarmupRequests is the number of served requests until the engine reaches its full
	// capacity.
	WarmupRequests int
	// Fences makes the engine reject orders with an old fencing token.
	Fences bool
	// Store is the address of the weight store. If it is empty, loading weights fetches
	// nothing.
	Store string
	// SwapTime is the time that loading weights takes.
	SwapTime time.Duration
}

// EngineFault selects the faults that an engine injects.
type EngineFault struct {
	// CutAfter closes the connection of a stream after that many tokens, for the next Times
	// requests.
	CutAfter int `json:"cut"`
	Times    int `json:"times"`
	// WrongRequest makes the engine respond with the id of another request.
	WrongRequest bool `json:"crossed"`
	// OmitVersion makes the engine leave the weight version out of its events.
	OmitVersion bool `json:"silent"`
	// FailedSwaps is the number of weight swaps that fail next.
	FailedSwaps int `json:"swaps"`
	// Busy makes the engine respond to every generation with 503.
	Busy bool `json:"busy"`
	// FirstTokenDelay is the delay before the first token in milliseconds.
	FirstTokenDelay int `json:"late"`
	// Slowdown multiplies the time to generate a token.
	Slowdown int `json:"slow"`
	// Cold restarts the warm-up.
	Cold bool `json:"cold"`
}

// Engine is a fake model engine.
type Engine struct {
	*server
	cfg EngineConfig
	// The fields below are guarded by server.mu.
	fault    EngineFault
	versions map[string]uint64
	// warmupServed counts the requests served since the engine was cold.
	warmupServed int
	// fence is the highest fencing token received.
	fence uint64
}

// StartEngine starts an engine.
func StartEngine(cfg EngineConfig) (*Engine, error) {
	e := &Engine{server: newServer(cfg.Base, "engine"), cfg: cfg, versions: map[string]uint64{}}
	e.extendAnnouncement = func(a *announce.Announcement) {
		a.Versions, a.SupportsFencing = maps.Clone(e.versions), cfg.Fences
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /generate", e.generate)
	mux.HandleFunc("POST /orders", e.order)
	mux.HandleFunc("POST /fault", e.setFault)
	mux.HandleFunc("GET /stats", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, e.Stats()) })
	return e, e.start(mux)
}

// Stats returns a copy of the counters.
func (e *Engine) Stats() Stats {
	s := e.server.Stats()
	e.mu.Lock()
	defer e.mu.Unlock()
	s.Versions = maps.Clone(e.versions)
	return s
}

func (e *Engine) setFault(w http.ResponseWriter, r *http.Request) {
	var f EngineFault
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.SetFault(f)
}

// SetFault replaces the selected faults.
func (e *Engine) SetFault(f EngineFault) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.fault = f
	if f.Cold {
		e.warmupServed = 0
	}
}

// currentCapacity returns the number of requests that the engine can run at once now.
// During the warm-up it grows with the requests served.
func (e *Engine) currentCapacity() int {
	if e.warmupServed >= e.cfg.WarmupRequests {
		return e.Capacity
	}
	return min(e.Capacity, 1+e.warmupServed/2)
}

// takeFault returns the faults and the capacity for one request.
func (e *Engine) takeFault() (f EngineFault, capacity int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	f, capacity = e.fault, e.currentCapacity()
	if f.CutAfter > 0 {
		if e.fault.Times--; e.fault.Times <= 0 {
			e.fault.CutAfter = 0
		}
	}
	return f, capacity
}

func (e *Engine) generate(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	var g attempt.GenerationRequest
	if err := json.Unmarshal(body, &g); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if e.rejectMisdirected(w, r) {
		return
	}
	f, capacity := e.takeFault()
	if overCapacity := e.requestStarted(capacity, hasKey(r, body)); overCapacity || f.Busy {
		time.Sleep(e.cfg.TokenTime)
		e.requestFinished(false)
		http.Error(w, "busy", http.StatusServiceUnavailable)
		return
	}
	served := e.stream(w, r, g, f)
	e.mu.Lock()
	if served {
		e.warmupServed++
	}
	e.mu.Unlock()
	e.requestFinished(served)
}

// stream writes the tokens of a generation. Each token depends only on the seed and its
// offset, so that a resumed stream continues like the first one.
func (e *Engine) stream(w http.ResponseWriter, r *http.Request, g attempt.GenerationRequest, f EngineFault) bool {
	w.Header().Set("Content-Type", "text/event-stream")
	name := g.Request
	if f.WrongRequest {
		name = "another"
	}
	time.Sleep(time.Duration(f.FirstTokenDelay) * time.Millisecond)
	for i := g.Offset; i < g.MaxTokens; i++ {
		if r.Context().Err() != nil {
			return false
		}
		if f.CutAfter > 0 && i-g.Offset >= f.CutAfter {
			abortConnection(w)
			return false
		}
		time.Sleep(e.cfg.TokenTime * time.Duration(max(1, f.Slowdown)))
		event := attempt.Event{Request: name, Index: i, Text: tokenText(g.Seed, i)}
		if !f.OmitVersion {
			v := e.version(g.Rollout)
			event.Version = &v
		}
		writeEvent(w, event)
	}
	writeEvent(w, attempt.Event{Request: name, Done: true, Reason: "length"})
	return true
}

func (e *Engine) version(rollout string) uint64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.versions[rollout]
}

func tokenText(seed uint64, i int) string {
	words := []string{"menu", "chai", "pod", "slip", "stall", "route", "proof", "clean"}
	return words[(seed+uint64(i)*2654435761)%uint64(len(words))] + " "
}

func writeEvent(w http.ResponseWriter, e attempt.Event) {
	data, _ := json.Marshal(e) // a plain struct always encodes
	fmt.Fprintf(w, "data: %s\n\n", data)
	w.(http.Flusher).Flush()
}

// engineOrder is the body of an order to load weights.
type engineOrder struct {
	Kind    string `json:"kind"`
	Rollout string `json:"rollout"`
	Version uint64 `json:"version"`
}

func (e *Engine) order(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	fence, _ := strconv.ParseUint(r.Header.Get("X-Fence"), 10, 64)
	if !e.admitOrder(fence, r, body) {
		http.Error(w, "old fencing number", http.StatusConflict)
		return
	}
	var o engineOrder
	if err := json.Unmarshal(body, &o); err != nil || o.Kind != "load" {
		http.Error(w, "unknown order", http.StatusBadRequest)
		return
	}
	go e.load(o)
}

func (e *Engine) admitOrder(fence uint64, r *http.Request, body []byte) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	ok := !e.cfg.Fences || fence >= e.fence
	e.fence = max(e.fence, fence)
	e.stats.Orders = append(e.stats.Orders, Received{Fence: r.Header.Get("X-Fence"), Number: r.Header.Get("X-Number"),
		Body: string(body), At: time.Now().UnixMilli(), Accepted: ok})
	return ok
}

// Load sets the weight version of a rollout without delay.
func (e *Engine) Load(rollout string, version uint64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.versions[rollout] = version
}

// load executes an order to load weights. Running streams continue with the new version.
func (e *Engine) load(o engineOrder) {
	time.Sleep(e.cfg.SwapTime)
	if !e.fetch(o) {
		return
	}
	e.mu.Lock()
	if e.fault.FailedSwaps > 0 {
		e.fault.FailedSwaps--
		e.mu.Unlock()
		return
	}
	e.versions[o.Rollout] = max(e.versions[o.Rollout], o.Version)
	e.mu.Unlock()
	if len(e.Entries) > 0 {
		e.announce()
	}
}

// fetch gets the weights from the weight store and reports whether that succeeded.
func (e *Engine) fetch(o engineOrder) bool {
	if e.cfg.Store == "" {
		return true
	}
	res, err := announceClient.Get(fmt.Sprintf("http://%s/weights/%s/%d", e.cfg.Store, o.Rollout, o.Version))
	if err != nil {
		return false
	}
	defer res.Body.Close()
	return res.StatusCode == http.StatusOK
}
