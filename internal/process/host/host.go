// Package host holds what every process of a site has: its settings, its log,
// its counters and the reload of its settings.
package host

import (
	"context"
	"errors"
	"net/http"
	"os"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"
	"github.com/valyala/fasthttp"

	"github.com/plantainbank/plantainbank/pkg/process/logs"
	"github.com/plantainbank/plantainbank/pkg/process/metrics"
	"github.com/plantainbank/plantainbank/pkg/process/settings"
)

// settingsPeriod is how often the settings file is looked at; it may change
// without a signal.
const settingsPeriod = 2 * time.Second

// pageTimeout bounds the reception of a request for the counters' page.
const pageTimeout = 5 * time.Second

// Host is one process.
type Host struct {
	Site    settings.Site
	Log     *logrus.Entry
	Scope   tally.Scope
	metrics *metrics.Metrics
	out     *logs.Writer
}

// New prepares the log and the counters.
func New(site settings.Site) *Host {
	out := logs.NewWriter(os.Stdout)
	m := metrics.New(site.Role)
	return &Host{Site: site, Log: logs.NewTo(out, site.Logs.Level, site.Role, site.Host), Scope: m.Scope, metrics: m, out: out}
}

// ServeMetrics serves the counters' page, if the settings name an address for
// it, until ctx ends.
func (h *Host) ServeMetrics(ctx context.Context) error {
	if h.Site.MetricsAddr == "" {
		<-ctx.Done()
		return nil
	}
	mux := http.NewServeMux()
	mux.Handle("/metrics", h.metrics.Handler)
	srv := &http.Server{Addr: h.Site.MetricsAddr, Handler: mux, ReadHeaderTimeout: pageTimeout}
	stop := context.AfterFunc(ctx, func() { _ = srv.Close() }) // the listener's error is nobody's concern at the end
	defer stop()
	if err := srv.ListenAndServe(); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// Close writes what is left of the log.
func (h *Host) Close() {
	if err := h.metrics.Close(); err != nil {
		h.Log.WithError(err).Warn("could not end the counters")
	}
	h.out.Close()
}

// WatchSettings reads the settings again when a signal asks for it or when
// the file has changed, and hands on the seeds. All else needs a restart.
func (h *Host) WatchSettings(ctx context.Context, file string, reload <-chan struct{}, reseed func([]string)) {
	tick := time.NewTicker(settingsPeriod)
	defer tick.Stop()
	seen := modified(file)
	for {
		forced := false
		select {
		case <-ctx.Done():
			return
		case <-reload:
			forced = true
		case <-tick.C:
		}
		if now := modified(file); forced || !now.Equal(seen) {
			seen = now
			h.reload(file, reseed)
		}
	}
}

func (h *Host) reload(file string, reseed func([]string)) {
	site, err := settings.ReadSite(file, h.Site.Role)
	if err != nil {
		h.Log.WithError(err).Error("settings not reloaded, going on with the former ones")
		return
	}
	reseed(site.ControlAddrs())
	h.Log.WithField("seeds", site.Seeds).Info("settings reloaded")
}

func modified(file string) time.Time {
	info, err := os.Stat(file)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}

// ConnectionErrors counts what the HTTP library would log. Its messages quote
// requests, so they could hold a key.
func ConnectionErrors(scope tally.Scope) fasthttp.Logger {
	return &connectionErrors{scope.Counter("connection_errors")}
}

type connectionErrors struct{ counter tally.Counter }

// Printf counts one error and drops its text.
func (c *connectionErrors) Printf(string, ...any) { c.counter.Inc(1) }
