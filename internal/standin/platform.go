package standin

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// PlatformConfig is the configuration of a platform.
type PlatformConfig struct {
	Addr string
	// Fences makes the platform reject messages with an old fencing token.
	Fences bool
	// Launch starts a backend server for an order. If it is nil, orders are only recorded.
	Launch func(zone, pool, class string, n int) (stop func())
}

// PlatformFault selects the faults that a platform injects.
type PlatformFault struct {
	// LostAnswers is the number of messages that are processed next without an answer: the
	// platform closes the connection instead.
	LostAnswers int `json:"lost"`
	// NoCapacityZones lists the zones in which no server can be started.
	NoCapacityZones []string `json:"none"`
}

// PlatformLog contains every message that the platform received.
type PlatformLog struct {
	Orders []Received `json:"orders"`
	Usage  []Received `json:"usage"`
	// Seconds is the total run time of the launched servers by class.
	Seconds map[string]float64 `json:"seconds"`
}

// Platform is a fake of the platform's order and usage interfaces.
type Platform struct {
	Addr string
	cfg  PlatformConfig
	http *http.Server
	mu   sync.Mutex
	// fence is the highest fencing token received.
	fence uint64
	log   PlatformLog
	fault PlatformFault
	// running lists the launched servers by zone, pool and class.
	running  map[string][]launchedServer
	launches int
}

// launchedServer is a backend server that the platform started.
type launchedServer struct {
	class string
	since time.Time
	stop  func()
}

// platformOrder is the body of an order for backend servers.
type platformOrder struct {
	Number uint64 `json:"number"`
	Zone   string `json:"zone"`
	Pool   string `json:"pool"`
	Steady int    `json:"steady"`
	Cheap  int    `json:"cheap"`
}

// StartPlatform starts a platform.
func StartPlatform(cfg PlatformConfig) (*Platform, error) {
	lis, err := net.Listen("tcp", cfg.Addr)
	if err != nil {
		return nil, err
	}
	p := &Platform{Addr: lis.Addr().String(), cfg: cfg, running: map[string][]launchedServer{}}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /orders", p.order)
	mux.HandleFunc("POST /usage", p.usage)
	mux.HandleFunc("GET /log", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, p.Log()) })
	mux.HandleFunc("POST /fault", func(w http.ResponseWriter, r *http.Request) {
		var f PlatformFault
		if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		p.SetFault(f)
	})
	p.http = &http.Server{Handler: mux}
	go p.http.Serve(lis)
	return p, nil
}

// Close stops the platform and the servers that it launched.
func (p *Platform) Close() {
	p.http.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, all := range p.running {
		for _, x := range all {
			x.stop()
		}
	}
}

// SetFault replaces the selected faults.
func (p *Platform) SetFault(f PlatformFault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fault = f
}

// Log returns a copy of the received messages. Seconds includes the servers that still run.
func (p *Platform) Log() PlatformLog {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := PlatformLog{Orders: append([]Received{}, p.log.Orders...), Usage: append([]Received{}, p.log.Usage...),
		Seconds: map[string]float64{}}
	for c, s := range p.log.Seconds {
		out.Seconds[c] = s
	}
	for _, all := range p.running {
		for _, x := range all {
			out.Seconds[x.class] += time.Since(x.since).Seconds()
		}
	}
	return out
}

// receive records a message. It reports whether the fencing token is accepted and whether
// the answer is to be lost.
func (p *Platform) receive(into *[]Received, r *http.Request) (body []byte, ok, loseAnswer bool) {
	body, _ = io.ReadAll(r.Body)
	p.mu.Lock()
	defer p.mu.Unlock()
	fence, _ := strconv.ParseUint(r.Header.Get("X-Fence"), 10, 64)
	ok = !p.cfg.Fences || fence >= p.fence
	p.fence = max(p.fence, fence)
	*into = append(*into, Received{Fence: r.Header.Get("X-Fence"), Number: r.Header.Get("X-Number"), Body: string(body),
		At: time.Now().UnixMilli(), Accepted: ok})
	if p.fault.LostAnswers > 0 {
		p.fault.LostAnswers--
		loseAnswer = true
	}
	return body, ok, loseAnswer
}

func (p *Platform) usage(w http.ResponseWriter, r *http.Request) {
	_, ok, loseAnswer := p.receive(&p.log.Usage, r)
	switch {
	case loseAnswer:
		abortConnection(w)
	case !ok:
		http.Error(w, "old fencing number", http.StatusConflict)
	}
}

func (p *Platform) order(w http.ResponseWriter, r *http.Request) {
	body, ok, loseAnswer := p.receive(&p.log.Orders, r)
	if !ok {
		http.Error(w, "old fencing number", http.StatusConflict)
		return
	}
	var o platformOrder
	if err := json.Unmarshal(body, &o); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	shortfall := p.applyOrder(o)
	if loseAnswer {
		abortConnection(w)
		return
	}
	writeJSON(w, map[string]int{"short": shortfall})
}

// applyOrder starts and stops servers and returns how many could not be provided.
func (p *Platform) applyOrder(o platformOrder) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, z := range p.fault.NoCapacityZones {
		if z == o.Zone {
			return o.Steady + o.Cheap
		}
	}
	if p.cfg.Launch != nil {
		p.scale(o.Zone, o.Pool, "steady", o.Steady)
		p.scale(o.Zone, o.Pool, "cheap", o.Cheap)
	}
	return 0
}

func (p *Platform) scale(zone, pool, class string, want int) {
	key := zone + "/" + pool + "/" + class
	for len(p.running[key]) < want {
		p.launches++
		p.running[key] = append(p.running[key], launchedServer{class, time.Now(), p.cfg.Launch(zone, pool, class, p.launches)})
	}
	for len(p.running[key]) > want {
		n := len(p.running[key]) - 1
		p.stop(p.running[key][n])
		p.running[key] = p.running[key][:n]
	}
}

func (p *Platform) stop(x launchedServer) {
	if p.log.Seconds == nil {
		p.log.Seconds = map[string]float64{}
	}
	p.log.Seconds[x.class] += time.Since(x.since).Seconds()
	go x.stop()
}

// WeightStore is a fake of the rate-limited weight store.
type WeightStore struct {
	Addr string
	http *http.Server
	mu   sync.Mutex
	// rate is the number of fetches allowed in each second.
	rate int
	// used counts the fetches in second, which is in Unix time.
	second int64
	used   int
	// Fetched and Refused count the allowed and the rejected requests.
	Fetched, Refused int
}

// StartWeightStore starts a weight store.
func StartWeightStore(addr string, rate int) (*WeightStore, error) {
	lis, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	s := &WeightStore{Addr: lis.Addr().String(), rate: rate}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /weights/{rollout}/{version}", func(w http.ResponseWriter, r *http.Request) {
		if !s.allow() {
			http.Error(w, "rate limit", http.StatusTooManyRequests)
			return
		}
		fmt.Fprintf(w, "%s/%s\n", r.PathValue("rollout"), r.PathValue("version"))
	})
	s.http = &http.Server{Handler: mux}
	go s.http.Serve(lis)
	return s, nil
}

// Close stops the store.
func (s *WeightStore) Close() { s.http.Close() }

func (s *WeightStore) allow() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now := time.Now().Unix(); now != s.second {
		s.second, s.used = now, 0
	}
	if s.used >= s.rate {
		s.Refused++
		return false
	}
	s.used++
	s.Fetched++
	return true
}
