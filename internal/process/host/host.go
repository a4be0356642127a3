// Package host holds what every process of a site has: its settings, its log, its metrics
// and the reloading of its settings.
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

// settingsInterval is how often the modification time of the settings file is checked;
// the file may change without a signal.
const settingsInterval = 2 * time.Second

// metricsReadTimeout bounds the reception of a request for the metrics.
const metricsReadTimeout = 5 * time.Second

// Host is one process of a site.
type Host struct {
	Site    settings.Site
	Log     *logrus.Entry
	Scope   tally.Scope
	metrics *metrics.Metrics
	out     *logs.Writer
}

// New sets up the log and the metrics of a process.
func New(site settings.Site) *Host {
	out := logs.NewWriter(os.Stdout)
	m := metrics.New(site.Role)
	return &Host{Site: site, Log: logs.NewTo(out, site.Logs.Level, site.Role, site.Host), Scope: m.Scope, metrics: m, out: out}
}

// ServeMetrics serves the metrics until ctx ends, if the settings name an address for
// them.
func (h *Host) ServeMetrics(ctx context.Context) error {
	if h.Site.MetricsAddr == "" {
		<-ctx.Done()
		return nil
	}
	mux := http.NewServeMux()
	mux.Handle("/metrics", h.metrics.Handler)
	srv := &http.Server{Addr: h.Site.MetricsAddr, Handler: mux, ReadHeaderTimeout: metricsReadTimeout}
	stop := context.AfterFunc(ctx, func() { _ = srv.Close() }) // an error on closing the listener does not matter at shutdown
	defer stop()
	if err := srv.ListenAndServe(); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// Close closes the metrics and flushes the log.
func (h *Host) Close() {
	if err := h.metrics.Close(); err != nil {
		h.Log.WithError(err).Warn("could not close the metrics")
	}
	h.out.Close()
}

// WatchSettings rereads the settings on a signal or when the file has changed, and passes
// the seed addresses to setSeeds. Changes of all other settings need a restart.
func (h *Host) WatchSettings(ctx context.Context, file string, reload <-chan struct{}, setSeeds func([]string)) {
	tick := time.NewTicker(settingsInterval)
	defer tick.Stop()
	lastModified := modTime(file)
	for {
		forced := false
		select {
		case <-ctx.Done():
			return
		case <-reload:
			forced = true
		case <-tick.C:
		}
		if now := modTime(file); forced || !now.Equal(lastModified) {
			lastModified = now
			h.reload(file, setSeeds)
		}
	}
}

func (h *Host) reload(file string, setSeeds func([]string)) {
	site, err := settings.ReadSite(file, h.Site.Role)
	if err != nil {
		h.Log.WithError(err).Error("could not reload the settings, continuing with the current ones")
		return
	}
	setSeeds(site.ControlAddrs())
	h.Log.WithField("seeds", site.Seeds).Info("settings reloaded")
}

func modTime(file string) time.Time {
	info, err := os.Stat(file)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}

// ConnectionErrors returns a logger that counts what the HTTP library logs instead of
// writing it. The messages quote requests, so they could contain a key.
func ConnectionErrors(scope tally.Scope) fasthttp.Logger {
	return &connectionErrors{scope.Counter("connection_errors")}
}

type connectionErrors struct{ counter tally.Counter }

// Printf counts one error and discards its text.
func (c *connectionErrors) Printf(string, ...any) { c.counter.Inc(1) }
