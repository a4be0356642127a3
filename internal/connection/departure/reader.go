package departure

import (
	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"
	"github.com/valyala/fasthttp"
)

// leaves is the only valid value of the header.
const leaves = "1"

// ReaderConfig holds the dependencies of a Reader.
type ReaderConfig struct {
	Set *Set
	// Header is the name of the header by which a server says that it leaves; empty if the site
	// has none.
	Header string
	// Report is called once for each server, to report it to control.
	Report func(Incarnation)
	Log    *logrus.Entry
	Scope  tally.Scope
}

// Reader reads from the responses of backend servers whether they leave. A nil Reader reads
// nothing. It is safe for concurrent use.
type Reader struct{ cfg ReaderConfig }

// NewReader returns a reader.
func NewReader(cfg ReaderConfig) *Reader { return &Reader{cfg} }

// Read records whether server x leaves. A header that is not valid changes nothing.
func (r *Reader) Read(h *fasthttp.ResponseHeader, x Incarnation) {
	if r == nil || r.cfg.Header == "" {
		return
	}
	values := h.PeekAll(r.cfg.Header)
	switch {
	case len(values) == 0:
	case len(values) > 1 || string(values[0]) != leaves:
		r.cfg.Scope.Counter("leaving_invalid").Inc(1)
	case r.cfg.Set.Record(x):
		r.cfg.Scope.Counter("leaving_servers").Inc(1)
		r.cfg.Log.WithFields(logrus.Fields{"instance": x.ID, "born": x.Born, "source": "response"}).Info("server leaves")
		r.cfg.Report(x)
	}
}
