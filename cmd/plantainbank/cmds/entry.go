package cmds

import (
	"github.com/plantainbank/plantainbank/pkg/process/entry"
	"github.com/plantainbank/plantainbank/pkg/process/logs"
	"github.com/plantainbank/plantainbank/pkg/process/metrics"
	"github.com/plantainbank/plantainbank/pkg/process/settings"
	"github.com/plantainbank/plantainbank/pkg/process/trace"
)

func entryCommand() command {
	var file string
	return command{
		path: "entry",
		help: "Run an entry process: it serves callers, trainers, operators and backend servers.",
		detail: "Runs until SIGTERM or SIGINT, then reports not ready, drains the requests in flight and exits 0. " +
			"A second signal stops it immediately.",
		args: []argument{{"settings", "The settings file.", &file}},
		run: func(*env) error {
			cfg, err := settings.ReadEntry(file)
			if err != nil {
				return err
			}
			return runEntry(cfg)
		},
	}
}

func runEntry(cfg settings.Entry) error {
	log := logs.New(cfg.Logs.Level, "entry", cfg.Host)
	m := metrics.New("entry")
	defer m.Close()
	tracer, err := trace.New(cfg.Trace, "entry", cfg.Host)
	if err != nil {
		return err
	}
	defer tracer.Close()
	if cfg.TLS.Off || cfg.CallerTLS.Off {
		log.Warn("TLS is off; use this on loopback only")
	}
	s, err := entry.New(cfg, log, m, tracer)
	if err != nil {
		return err
	}
	log.Info("started")
	err = s.Run(shutdownContext())
	log.Info("stopped")
	return err
}
