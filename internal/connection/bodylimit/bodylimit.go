// Package bodylimit applies an account of bytes to the servers of a process: request bodies are read only
// as far as it has room, answers that callers do not read are given up, and connections are bounded.
package bodylimit

import (
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"
	"github.com/valyala/fasthttp"

	"github.com/plantainbank/plantainbank/internal/connection/bodies"
)

const (
	// freeBytes is the size up to which a body or an answer is not counted: the estimate of a connection
	// includes it. So small calls, such as heartbeats, get through when the account is full.
	freeBytes = 16 << 10
	// connBytes is the estimate of the memory of a connection: buffers, stack and a small body.
	connBytes = 48 << 10
	// logInterval is the minimum time between two log lines of the same kind.
	logInterval = 5 * time.Second
	// minRetryAfter and maxRetryAfter bound the Retry-After of refused requests. A slow body is ended in favor of
	// another after bodies.Patience.
	minRetryAfter = 500 * time.Millisecond
	maxRetryAfter = 2 * time.Second
)

// errEnded is the error of reads of a body that was ended in favor of another.
var errEnded = errors.New("the body arrived too slowly while memory was short")

// Config contains the limits of a process.
type Config struct {
	Account *bodies.Account
	// MaxBody is the maximum size of a request body at the servers that callers use.
	MaxBody int
	// Stall ends a body of which nothing arrives, and an answer of which nothing is read, for this long. Total
	// bounds the time in which a body arrives. Zero stands for no limit.
	Stall, Total time.Duration
	// MaxConns is the maximum number of connections; 0 is unlimited.
	MaxConns int
	// Refuse writes the answer to a request that callers sent and that has not run. The default is plain text.
	Refuse func(rc *fasthttp.RequestCtx, status int, detail string)
	Log    *logrus.Entry
	Scope  tally.Scope
}

// Limiter applies the limits to the servers of a process.
type Limiter struct {
	cfg Config

	mu    sync.Mutex
	conns map[*Conn]bool
	logs  map[string]*logState
}

// logState bounds the log lines of one kind.
type logState struct {
	next    time.Time
	skipped int
}

// New returns a Limiter. Its methods Listener, Server and HTTPServer apply it to servers.
func New(cfg Config) *Limiter {
	if cfg.Refuse == nil {
		cfg.Refuse = refuseText
	}
	return &Limiter{cfg: cfg, conns: map[*Conn]bool{}, logs: map[string]*logState{}}
}

// Sibling returns a Limiter with the same account and a limit of its own on connections. So the clients of one server
// cannot take the connections of another.
func (l *Limiter) Sibling(maxConns int) *Limiter {
	cfg := l.cfg
	cfg.MaxConns = maxConns
	return New(cfg)
}

// MaxConns returns the number of connections that fit into the given bytes.
func MaxConns(memory int64) int { return max(16, int(memory/connBytes)) }

// deadline returns when a read or write fails that begins now, for a transfer that began at start. It is the zero time if
// there is no limit.
func (l *Limiter) deadline(now, start time.Time) (d time.Time) {
	if l.cfg.Stall > 0 {
		d = now.Add(l.cfg.Stall)
	}
	if end := start.Add(l.cfg.Total); l.cfg.Total > 0 && !start.IsZero() && (d.IsZero() || end.Before(d)) {
		d = end
	}
	return d
}

// count counts an event and logs it, at most once in logInterval for each message and reason.
func (l *Limiter) count(counter, message, reason string, fields logrus.Fields) {
	l.cfg.Scope.Tagged(map[string]string{"reason": reason}).Counter(counter).Inc(1)
	l.cfg.Scope.Gauge("bodies_bytes").Update(float64(l.cfg.Account.Used()))
	now := time.Now()
	l.mu.Lock()
	s := l.logs[message+reason]
	if s == nil {
		s = &logState{}
		l.logs[message+reason] = s
	}
	if now.Before(s.next) {
		s.skipped++
		l.mu.Unlock()
		return
	}
	skipped := s.skipped
	s.next, s.skipped = now.Add(logInterval), 0
	l.mu.Unlock()
	l.cfg.Log.WithFields(fields).WithFields(logrus.Fields{"reason": reason, "since_last": skipped + 1}).Warn(message)
}

// refusal is why a request was not taken. The status promises that the request has not run.
type refusal struct {
	status         int
	reason, detail string
}

// refuseBody counts and logs a body that is refused for an error while it is read.
func (l *Limiter) refuseBody(err error, peer net.Addr, received int) refusal {
	var full *bodies.FullError
	r := refusal{http.StatusBadRequest, "broken", "the body is malformed or incomplete"}
	switch {
	case errors.Is(err, errTooLarge):
		r = refusal{http.StatusRequestEntityTooLarge, "size", "the body is larger than the limit"}
	case errors.Is(err, errEnded):
		r = refusal{http.StatusRequestTimeout, "slow", errEnded.Error()}
	case errors.Is(err, os.ErrDeadlineExceeded):
		r = refusal{http.StatusRequestTimeout, "stalled", "the body has stopped arriving"}
	case errors.As(err, &full):
		r = refusal{http.StatusServiceUnavailable, "full", "too many bytes of requests are in flight"}
	}
	l.count("bodies_refused", "body refused", r.reason, logrus.Fields{"addr": peer.String(), "received": received, "status": r.status})
	return r
}

var errTooLarge = errors.New("the body is larger than the limit")

// retryAfter returns a Retry-After in seconds, spread so that refused callers do not return at once.
func retryAfter() string {
	d := minRetryAfter + time.Duration(rand.Int64N(int64(maxRetryAfter-minRetryAfter)))
	return strconv.FormatFloat(d.Seconds(), 'f', 3, 64)
}
