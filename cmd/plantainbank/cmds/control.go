package cmds

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/plantainbank/plantainbank/pkg/process/control"
	"github.com/plantainbank/plantainbank/pkg/process/disk"
	"github.com/plantainbank/plantainbank/pkg/process/logs"
	"github.com/plantainbank/plantainbank/pkg/process/metrics"
	"github.com/plantainbank/plantainbank/pkg/process/quorum"
	"github.com/plantainbank/plantainbank/pkg/process/settings"
)

func controlCommand() command {
	var file string
	return command{
		path: "control",
		help: "Run a control process: a replica of the state; the leader also runs the tasks that only one process may run.",
		detail: "Runs until SIGTERM or SIGINT, then shuts down gracefully and exits 0. A second signal stops it immediately. " +
			"The data directory is created at the first start. A process with an empty data directory joins as a new replica.",
		args: []argument{{"settings", "The settings file.", &file}},
		run: func(*env) error {
			cfg, err := settings.ReadControl(file)
			if err != nil {
				return err
			}
			return runControl(cfg)
		},
	}
}

func runControl(cfg settings.Control) error {
	log := logs.New(cfg.Logs.Level, "control", cfg.Listen)
	m := metrics.New("control")
	defer m.Close()
	if cfg.TLS.Off {
		log.Warn("TLS between processes is off; use this on loopback only")
	}
	s, err := control.New(cfg, control.Options{Log: log, Scope: m.Scope, MetricsHandler: m.Handler,
		Files: disk.RealFiles(), Timing: quorum.DefaultTiming()})
	if err != nil {
		return err
	}
	defer s.Close()
	log.WithField("data", cfg.DataDir).Info("started")
	err = s.Run(shutdownContext())
	log.Info("stopped")
	return err
}

// shutdownContext returns a context that is canceled by the first SIGTERM or SIGINT. A
// second signal exits the process.
func shutdownContext() context.Context {
	ctx, cancel := context.WithCancel(context.Background())
	c := make(chan os.Signal, 2)
	signal.Notify(c, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-c
		cancel()
		<-c
		os.Exit(exitFailed)
	}()
	return ctx
}
