package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// server is a backend server: a worker of the pages. It answers one request at a time on a
// channel and tells the control processes about itself.
type server struct {
	s              *site
	id, addr, zone string
	service, model string
	slots          int
	born           int64
	coldUntil      time.Time
	lis            net.Listener
	// answer answers one request; keep is false if the channel is to be closed.
	answer func(x *exchange) (keep bool)

	mu    sync.Mutex
	seq   int
	state string
	quiet bool
	conns map[net.Conn]bool
	// answers counts the answers.
	answers int
	closed  bool
}

// exchange is one request on a channel.
type exchange struct {
	srv  *server
	conn net.Conn
	req  *http.Request
	body []byte
	id   string
	// extra is written before the next answer on the channel.
	channel *channel
}

// channel is what a server remembers of a channel.
type channel struct {
	// late is an answer that was sent already and is sent once more where the next one is expected.
	late   []byte
	lateID string
}

const heartbeatInterval = 1200 * time.Millisecond

func startServer(s *site, n int, id, service, model string, slots int, answer func(x *exchange) bool) (*server, error) {
	return startServerCold(s, n, id, service, model, slots, 0, answer)
}

// startServerCold starts a server that is cold for some time.
func startServerCold(s *site, n int, id, service, model string, slots int, cold time.Duration, answer func(x *exchange) bool) (*server, error) {
	v := &server{coldUntil: time.Now().Add(cold), s: s, id: id, addr: s.addr("server", n, portServer), zone: zones[n%len(zones)], service: service, model: model, slots: slots,
		born: time.Now().UnixMilli(), answer: answer, state: "ready", conns: map[net.Conn]bool{}}
	lis, err := net.Listen("tcp", v.addr)
	if err != nil {
		return nil, err
	}
	v.lis = lis
	go v.accept()
	go v.announceLoop()
	return v, nil
}

func (v *server) accept() {
	for {
		c, err := v.lis.Accept()
		if err != nil {
			return
		}
		v.mu.Lock()
		v.conns[c] = true
		v.mu.Unlock()
		go v.serve(c)
	}
}

func (v *server) serve(c net.Conn) {
	defer func() {
		c.Close()
		v.mu.Lock()
		delete(v.conns, c)
		v.mu.Unlock()
	}()
	br := bufio.NewReader(c)
	ch := &channel{}
	for {
		req, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		x := &exchange{srv: v, conn: c, req: req, body: body, id: req.Header.Get("Plantainbank-Request-Id"), channel: ch}
		if want := req.Header.Get("Plantainbank-Expect-Instance"); want != "" && want != v.id {
			v.s.rec.add(v.id, "%s is for %s: 421", x.id, want)
			if !x.whole(http.StatusMisdirectedRequest, "", "") {
				return
			}
			continue
		}
		if req.URL.Path == "/v1/report" {
			report := fmt.Sprintf(`{"stage":"prefill_decode","models":%s,"busy":false,"seq":0,"num_waiting":0,"num_running":0,"kv_used":0,"kv_total":42584,"handles":0}`, v.models())
			if !x.whole(http.StatusOK, "application/json", report) {
				return
			}
			continue
		}
		if !v.answer(x) {
			return
		}
	}
}

func (v *server) models() string {
	if v.model == "" {
		return "[]"
	}
	return fmt.Sprintf(`[{"name":%q,"version":1,"adapters":[]}]`, v.model)
}

// head returns the status line and the headers that every answer has.
func (x *exchange) head(status int) string {
	return fmt.Sprintf("HTTP/1.1 %d %s\r\nPlantainbank-Request-Id: %s\r\nPlantainbank-Server-Stamp: %s.%s\r\nPlantainbank-Weight-Versions: 1\r\nKeep-Alive: timeout=10\r\n",
		status, http.StatusText(status), x.id, x.srv.id, x.id)
}

// wholeText returns a complete answer.
func (x *exchange) wholeText(status int, contentType, body string) string {
	h := x.head(status)
	if contentType != "" {
		h += "Content-Type: " + contentType + "\r\n"
	}
	return fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", h, len(body), body)
}

// whole writes a complete answer and reports whether it could.
func (x *exchange) whole(status int, contentType, body string) bool {
	x.srv.count()
	_, err := io.WriteString(x.conn, x.wholeText(status, contentType, body))
	return err == nil
}

func (v *server) count() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.answers++
}

func (v *server) answered() int {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.answers
}

// stream writes events, one after each pause, and ends the answer after the last one. It stops
// when the caller has closed the channel.
func (x *exchange) stream(events []string, pause time.Duration) bool {
	x.srv.count()
	if _, err := io.WriteString(x.conn, x.head(200)+"Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"); err != nil {
		return false
	}
	for _, e := range events {
		time.Sleep(pause)
		if _, err := fmt.Fprintf(x.conn, "%x\r\n%s\r\n", len(e), e); err != nil {
			return false
		}
	}
	_, err := io.WriteString(x.conn, "0\r\n\r\n")
	return err == nil
}

func (v *server) announceLoop() {
	for n := 0; ; n++ {
		v.mu.Lock()
		done := v.closed || v.quiet
		v.mu.Unlock()
		if done {
			return
		}
		v.announce(n)
		time.Sleep(heartbeatInterval)
	}
}

// announce sends one heartbeat to the control processes in turn until one acknowledges it.
func (v *server) announce(n int) bool {
	v.mu.Lock()
	v.seq++
	body, _ := json.Marshal(map[string]any{"service": v.service, "addr": v.addr, "zone": v.zone, "version": "v1", "slots": v.slots, "state": v.state,
		"cold_left_ms": max(0, time.Until(v.coldUntil).Milliseconds()), "stage": "prefill_decode", "models": json.RawMessage(v.models()), "seq": v.seq, "born": v.born})
	v.mu.Unlock()
	for i := range v.s.size.control {
		addr := v.s.controlAddrs()[(n+i)%v.s.size.control]
		if status, err := controlCall("POST", "http://"+addr+"/v1/instances/"+v.id+"/heartbeat", string(body)); err == nil && status == 200 {
			return true
		}
	}
	return false
}

// deregister says that the server leaves, and sends nothing more. The server goes on serving.
func (v *server) deregister() error {
	v.mu.Lock()
	v.quiet = true
	v.mu.Unlock()
	return v.s.callControl(v.id, "POST", "/v1/instances/"+v.id+"/deregister", fmt.Sprintf(`{"born":%d}`, v.born))
}

// close ends the server.
func (v *server) close() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.closed = true
	v.lis.Close()
	for c := range v.conns {
		c.Close()
	}
}

// eventTexts returns n events of an item and the text that they make.
func eventTexts(id string, first, n int) (events []string, text string) {
	var data []string
	for i := first; i <= n; i++ {
		d := fmt.Sprintf("event %d of %s", i, id)
		events = append(events, fmt.Sprintf("id: %d\ndata: %s\n\n", i, d))
		data = append(data, d)
	}
	return events, strings.Join(data, "\n")
}
