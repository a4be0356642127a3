// Package metrics makes the counters of a process and their text page.
package metrics

import (
	"io"
	"net/http"
	"time"

	client "github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"
)

// reportPeriod is the period at which counters reach the page.
const reportPeriod = 2 * time.Second

// Metrics is the root scope of a process and the page that shows it.
type Metrics struct {
	Scope tally.Scope
	// Page serves the counters in the Prometheus text format.
	Handler http.Handler
	closer  io.Closer
}

// New returns the metrics of one process.
func New(role string) *Metrics {
	registry := client.NewRegistry()
	reporter := prometheus.NewReporter(prometheus.Options{Registerer: registry, Gatherer: registry})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:          "plantainbank_" + role,
		CachedReporter:  reporter,
		Separator:       prometheus.DefaultSeparator,
		SanitizeOptions: &prometheus.DefaultSanitizerOpts,
	}, reportPeriod)
	return &Metrics{Scope: scope, Handler: reporter.HTTPHandler(), closer: closer}
}

// Close stops reporting.
func (m *Metrics) Close() error { return m.closer.Close() }
