package cmds

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/plantainbank/plantainbank/pkg/process/settings"
	"github.com/plantainbank/plantainbank/pkg/version/strictjson"
	"github.com/plantainbank/plantainbank/platform"
)

func siteCommand() command {
	var role string
	return command{
		path: "site",
		help: "Run a process of a site under the users' platform.",
		detail: "The platform passes the path of the settings file in the environment. Runs until SIGTERM or SIGINT, then shuts down " +
			"gracefully and exits 0. SIGHUP reloads the seeds.",
		args: []argument{{"role", "The role: entry, control or store.", &role}},
		run: func(*env) error {
			if err := strictjson.OneOf("role", role, settings.RoleControl, settings.RoleEntry, settings.RoleStore); err != nil {
				return err
			}
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
