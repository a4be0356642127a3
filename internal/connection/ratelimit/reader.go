package ratelimit

import (
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"
	"github.com/valyala/fasthttp"
)

// invalidInterval is the minimum time between two log lines about invalid limits.
const invalidInterval = 10 * time.Second

// ReaderConfig holds the dependencies of a Reader.
type ReaderConfig struct {
	Book *Book
	// Header is the name of the header that holds the limit; empty if the site has none.
	Header string
	Log    *logrus.Entry
	Scope  tally.Scope
}

// Reader reads the limits in the responses of backend servers into a Book. A nil Reader reads
// nothing. It is safe for concurrent use.
type Reader struct {
	cfg ReaderConfig
	mu  sync.Mutex
	// invalid counts the invalid limits since the last log line, invalidAt is its time.
	invalid   int
	invalidAt time.Time
}

// NewReader returns a reader.
func NewReader(cfg ReaderConfig) *Reader { return &Reader{cfg: cfg} }

// Read records the limit in a response of server k. sent is when the request was sent. A response
// with an invalid limit changes nothing.
func (r *Reader) Read(h *fasthttp.ResponseHeader, k Key, sent, now time.Time) {
	if r == nil || r.cfg.Header == "" {
		return
	}
	l, err := Parse(h.PeekAll(r.cfg.Header))
	if err != nil {
		r.logInvalid(k, err, now)
		return
	}
	before, changed := r.cfg.Book.Observe(k, l, sent, now)
	if changed {
		r.cfg.Scope.Counter("limit_changes").Inc(1)
		r.cfg.Log.WithFields(ChangeFields(k, before, l)).WithField("source", "response").Info("server limit changed")
	}
}

func (r *Reader) logInvalid(k Key, err error, now time.Time) {
	r.cfg.Scope.Counter("limit_invalid").Inc(1)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.invalid++
	if now.Sub(r.invalidAt) < invalidInterval {
		return
	}
	r.cfg.Log.WithError(err).WithFields(logrus.Fields{"instance": k.ID, "invalid": r.invalid}).Warn("invalid server limit ignored")
	r.invalid, r.invalidAt = 0, now
}

// ChangeFields returns the fields of a log line about a change of a limit. A limit that is not
// named has no field.
func ChangeFields(k Key, before, after Limit) logrus.Fields {
	f := logrus.Fields{"instance": k.ID}
	if before.Named {
		f["before"] = before.Rate
	}
	if after.Named {
		f["limit"] = after.Rate
	}
	return f
}
