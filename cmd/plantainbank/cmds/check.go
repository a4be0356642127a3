package cmds

import (
	"encoding/json"
	"fmt"

	"github.com/plantainbank/plantainbank/pkg/process/settings"
	"github.com/plantainbank/plantainbank/pkg/version/strictjson"
)

// hidden replaces secrets in printed settings.
const hidden = "(hidden)"

func checkCommand() command {
	var role, file string
	return command{
		path:   "check",
		help:   "Check a settings file and print the effective settings.",
		detail: "Prints the settings with all defaults filled in. Secrets are hidden. Exits 2 if the file is wrong.",
		args:   []argument{{"role", "The role: control or entry.", &role}, {"settings", "The settings file.", &file}},
		run:    func(env *env) error { return check(env, role, file) },
	}
}

func check(env *env, role, file string) error {
	if err := strictjson.OneOf("role", role, "control", "entry"); err != nil {
		return err
	}
	var effective any
	if role == "control" {
		cfg, err := settings.ReadControl(file)
		if err != nil {
			return err
		}
		effective = cfg
	} else {
		cfg, err := settings.ReadEntry(file)
		if err != nil {
			return err
		}
		cfg.OperatorTokenHash, cfg.AnnounceTokenHash = hidden, hidden
		effective = cfg
	}
	data, err := json.MarshalIndent(effective, "", "  ")
	if err != nil {
		return err
	}
	fmt.Fprintln(env.out, string(data))
	return nil
}
