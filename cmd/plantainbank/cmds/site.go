package cmds

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/plantainbank/plantainbank/platform"
)

// siteCommand returns the command that runs a process of a site in one role.
func siteCommand(role, help string) command {
	return command{
		path: "site " + role,
		help: help,
		detail: "The platform passes the path of the settings file in the environment. Runs until SIGTERM or SIGINT, then shuts down " +
			"gracefully and exits 0. SIGHUP reloads the seeds.",
		run: func(*env) error {
			ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
			defer stop()
			return platform.Run(ctx, role, reloadSignals())
		},
	}
}

// reloadSignals returns a channel that receives a value after SIGHUP. Signals that arrive
// while a value is pending are merged.
func reloadSignals() <-chan struct{} {
	out := make(chan struct{}, 1)
	c := make(chan os.Signal, 1)
	signal.Notify(c, syscall.SIGHUP)
	go func() {
		for range c {
			select {
			case out <- struct{}{}:
			default:
			}
		}
	}()
	return out
}
