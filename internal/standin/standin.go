// Package standin implements fakes of the external systems for the demo, the tests and the
// measurements: engines, plain services, scoring services, the platform, the weight store
// and trainers. POST /fault makes an engine, a service or the platform inject faults.
package standin

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/plantainbank/plantainbank/pkg/connection/announce"
	"github.com/plantainbank/plantainbank/pkg/request/attempt"
)

// announceInterval is the interval between two announcements of a backend server.
const announceInterval = 500 * time.Millisecond

// KeyPrefix is the start of every caller key. Callers' keys must not reach backend servers.
const KeyPrefix = "pbk_"

// Base is the configuration that all backend servers share.
type Base struct {
	ID, Addr, Zone, Pool, Class string
	// Entries are the addresses for announcements, used in turn.
	Entries []string
	// Token is the backend servers' token.
	Token string
	// Capacity is the number of requests that the warm server can run at once.
	Capacity int
	// AnnounceDelay is the time between the start and the first announcement.
	AnnounceDelay time.Duration
	// Incarnation is the start time in Unix nanoseconds by default.
	Incarnation uint64
}

// server is a running backend server.
type server struct {
	Base
	kind string
	http *http.Server
	lis  net.Listener
	stop chan struct{}

	mu      sync.Mutex
	seq     uint64
	leaving bool
	running int
	stats   Stats
	// extendAnnouncement adds the fields that only one kind of server announces.
	extendAnnouncement func(*announce.Announcement)
}

// Stats are the counters of a backend server.
type Stats struct {
	Running int `json:"running"`
	// Peak is the maximum number of requests that ran at once.
	Peak    int `json:"peak"`
	Served  int `json:"served"`
	Refused int `json:"refused"`
	// OverCapacity counts requests that exceeded the capacity at their start.
	OverCapacity int `json:"over"`
	// KeyLeaks counts requests that contained KeyPrefix.
	KeyLeaks int `json:"leaks"`
	// Started counts requests whose body was received.
	Started int `json:"started"`
	// Last is the start time of the latest request in Unix milliseconds.
	Last int64 `json:"last"`
	// Orders lists the received orders.
	Orders []Received `json:"orders,omitempty"`
	// Versions are the loaded weight versions by rollout.
	Versions map[string]uint64 `json:"versions,omitempty"`
}

// Received is a received order or usage report. At is in Unix milliseconds.
type Received struct {
	Fence    string `json:"fence"`
	Number   string `json:"number"`
	Body     string `json:"body"`
	At       int64  `json:"at"`
	Accepted bool   `json:"accepted"`
}

func newServer(b Base, kind string) *server {
	if b.Incarnation == 0 {
		b.Incarnation = uint64(time.Now().UnixNano())
	}
	return &server{Base: b, kind: kind, stop: make(chan struct{})}
}

// start adds the paths that all servers have to mux, serves it and starts to announce the
// server.
func (s *server) start(mux *http.ServeMux) error {
	lis, err := net.Listen("tcp", s.Addr)
	if err != nil {
		return err
	}
	s.lis, s.Addr = lis, lis.Addr().String()
	mux.HandleFunc("POST /leave", func(http.ResponseWriter, *http.Request) { s.Leave() })
	mux.HandleFunc("POST /reset", func(http.ResponseWriter, *http.Request) { s.reset() })
	s.http = &http.Server{Handler: mux}
	go s.http.Serve(lis)
	if len(s.Entries) > 0 {
		go s.announceLoop()
	}
	return nil
}

// Close stops the server immediately.
func (s *server) Close() {
	close(s.stop)
	s.http.Close()
}

// Leave announces that the server is about to stop.
func (s *server) Leave() {
	s.mu.Lock()
	s.leaving = true
	s.mu.Unlock()
	s.announce()
}

func (s *server) announceLoop() {
	time.Sleep(s.AnnounceDelay)
	tick := time.NewTicker(announceInterval)
	defer tick.Stop()
	for {
		s.announce()
		select {
		case <-s.stop:
			return
		case <-tick.C:
		}
	}
}

// announce sends one announcement to the next entry host that accepts it.
func (s *server) announce() {
	s.mu.Lock()
	s.seq++
	a := announce.Announcement{ID: s.ID, Incarnation: s.Incarnation, Seq: s.seq, Addr: s.Addr, Zone: s.Zone, Pool: s.Pool,
		Kind: s.kind, Class: s.Class, Capacity: s.Capacity, Running: s.running, Leaving: s.leaving}
	if s.extendAnnouncement != nil {
		s.extendAnnouncement(&a)
	}
	seq := int(s.seq)
	s.mu.Unlock()
	body, _ := json.Marshal(a) // a plain struct always encodes
	for i := range s.Entries {
		if s.send(s.Entries[(seq+i)%len(s.Entries)], body) {
			return
		}
	}
}

var announceClient = &http.Client{Timeout: time.Second}

func (s *server) send(entry string, body []byte) bool {
	req, err := http.NewRequest(http.MethodPost, "http://"+entry+"/announce", bytes.NewReader(body))
	if err != nil {
		return false
	}
	req.Header.Set("Authorization", "Bearer "+s.Token)
	res, err := announceClient.Do(req)
	if err != nil {
		return false
	}
	io.Copy(io.Discard, res.Body)
	res.Body.Close()
	return res.StatusCode == http.StatusOK
}

// rejectMisdirected answers a request that is addressed to another incarnation, and
// reports whether it did.
func (s *server) rejectMisdirected(w http.ResponseWriter, r *http.Request) bool {
	expected := r.Header.Get(attempt.IncarnationHeader)
	if expected == "" || expected == strconv.FormatUint(s.Incarnation, 10) {
		return false
	}
	http.Error(w, "another start of the server has the address", http.StatusMisdirectedRequest)
	return true
}

// requestStarted counts a request, and reports whether it exceeds the current capacity.
func (s *server) requestStarted(capacity int, keyLeak bool) (overCapacity bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running++
	s.stats.Started++
	s.stats.Last = time.Now().UnixMilli()
	s.stats.Peak = max(s.stats.Peak, s.running)
	if keyLeak {
		s.stats.KeyLeaks++
	}
	overCapacity = s.running > capacity
	if overCapacity {
		s.stats.OverCapacity++
	}
	return overCapacity
}

func (s *server) requestFinished(served bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
	if served {
		s.stats.Served++
	} else {
		s.stats.Refused++
	}
}

// Stats returns a copy of the counters.
func (s *server) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := s.stats
	out.Running = s.running
	return out
}

// reset sets the counters to zero.
func (s *server) reset() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stats = Stats{}
}

// hasKey reports whether a request contains KeyPrefix in its body, URI or headers.
func hasKey(r *http.Request, body []byte) bool {
	if bytes.Contains(body, []byte(KeyPrefix)) || strings.Contains(r.RequestURI, KeyPrefix) {
		return true
	}
	return strings.Contains(fmt.Sprint(r.Header), KeyPrefix)
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(v)
}

// abortConnection closes the connection of a request without completing the response.
func abortConnection(w http.ResponseWriter) {
	if h, ok := w.(http.Hijacker); ok {
		if c, _, err := h.Hijack(); err == nil {
			c.Close()
			return
		}
	}
	panic(http.ErrAbortHandler)
}
