// Package cmds implements the commands of plantainbank, grouped by file. The pages under
// docs/cli are generated from the command table in this package.
package cmds

import (
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"strings"

	"github.com/integrii/flaggy"

	"github.com/plantainbank/plantainbank/pkg/connection/response"
	"github.com/plantainbank/plantainbank/pkg/process/disk"
	"github.com/plantainbank/plantainbank/pkg/process/settings"
	"github.com/plantainbank/plantainbank/pkg/version/strictjson"
)

// Exit codes.
const (
	exitOK = 0
	// exitFailed: the command failed, or a check has findings.
	exitFailed = 1
	// exitUsage: the command line, a settings file or a record is invalid.
	exitUsage = 2
	// exitRefused: the service rejected the change; nothing has changed.
	exitRefused = 3
	// exitUnknown: the outcome is unknown; repeat with the same request number.
	exitUnknown = 4
)

// UsageError reports an invalid command line or input that cannot be read.
type UsageError struct{ Problem string }

func (e *UsageError) Error() string { return e.Problem }

// RefusedError reports a change that the service rejected.
type RefusedError struct{ Problem string }

func (e *RefusedError) Error() string { return "refused: " + e.Problem }

// UnknownError reports a change whose outcome is unknown.
type UnknownError struct{ Request string }

func (e *UnknownError) Error() string {
	return fmt.Sprintf("outcome unknown, run the command again with --request %s", e.Request)
}

// option is one flag of a command. Exactly one of text, number and on is set, which
// determines the type of the flag.
type option struct {
	name, help string
	text       *string
	number     *int
	on         *bool
}

// argument is one positional argument of a command.
type argument struct {
	name, help string
	value      *string
}

// command is one row of the command table.
type command struct {
	// path is the command name, with its group in front if it has one.
	path string
	help string
	// detail is the description on the command's page; the help text does not print it.
	detail  string
	args    []argument
	options []option
	run     func(env *env) error
}

// env is the environment of a command.
type env struct {
	out, errs io.Writer
}

// table returns all commands in the order in which the help lists them.
func table() []command {
	return []command{
		controlCommand(), entryCommand(), checkCommand(),
		siteCommand(settings.RoleEntry, "Run an entry process of a site: it serves callers and trainers."),
		siteCommand(settings.RoleControl, "Run a control process of a site: it serves operators and backend servers and keeps the configuration."),
		siteCommand(settings.RoleStore, "Run a store process of a site: it keeps batches and runs their items."),
		siteCheckCommand(),
		recordPutCommand(), recordGetCommand(), recordListCommand(), recordWithdrawCommand(), recordWaitCommand(),
		keyNewCommand(), keyWithdrawCommand(), stepShowCommand(), statusCommand(), whyCommand(),
		replicaListCommand(), replicaAddCommand(), replicaRemoveCommand(),
		snapshotSaveCommand(), snapshotVerifyCommand(), certNewCommand(), docsCommand(), versionCommand(),
	}
}

// groupHelp describes the command groups.
var groupHelp = map[string]string{
	"site":     "Run a process of a site under the users' platform, or check its configuration.",
	"record":   "Submit, read and withdraw records.",
	"key":      "Create and withdraw keys.",
	"step":     "Show training steps.",
	"replica":  "List, add and remove control replicas.",
	"snapshot": "Save and verify copies of a replica's state.",
	"cert":     "Create certificates.",
}

// Main parses the arguments, runs the command and returns the exit code.
func Main(args []string, out, errs io.Writer) int {
	commands := table()
	chosen, err := parse(args, commands)
	if err == nil {
		err = chosen.run(&env{out, errs})
	}
	if err == nil {
		return exitOK
	}
	fmt.Fprintln(errs, "plantainbank:", describe(err))
	return exitCode(err)
}

// describe returns the text of an error. For a failed listen it names the address first.
func describe(err error) string {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "listen" {
		return fmt.Sprintf("cannot listen on %s: %v", op.Addr, op.Err)
	}
	return err.Error()
}

func exitCode(err error) int {
	var usage *UsageError
	var file *settings.FileError
	var field *strictjson.FieldError
	var refused *RefusedError
	var unknown *UnknownError
	var corrupt *disk.CorruptError
	var e *response.Error
	switch {
	case errors.As(err, &usage), errors.As(err, &file), errors.As(err, &field):
		return exitUsage
	case errors.As(err, &refused), errors.As(err, &e):
		return exitRefused
	case errors.As(err, &unknown):
		return exitUnknown
	case errors.As(err, &corrupt):
		return exitFailed
	}
	return exitFailed
}

// parse selects the command and stores its arguments and flags.
func parse(args []string, commands []command) (*command, error) {
	p := flaggy.NewParser("plantainbank")
	p.Description = "A rollout service for reinforcement learning."
	p.AdditionalHelpAppend = "\nExit codes: 0 done, 1 failed, 2 wrong command line or file, 3 refused, 4 outcome unknown."
	p.ShowVersionWithVersionFlag = false
	groups := map[string]*flaggy.Subcommand{}
	subs := make([]*flaggy.Subcommand, len(commands))
	for i := range commands {
		subs[i] = newSubcommand(&commands[i])
		group, _, nested := strings.Cut(commands[i].path, " ")
		if !nested {
			p.AttachSubcommand(subs[i], 1)
			continue
		}
		if groups[group] == nil {
			groups[group] = flaggy.NewSubcommand(group)
			groups[group].Description = groupHelp[group]
			p.AttachSubcommand(groups[group], 1)
		}
		groups[group].AttachSubcommand(subs[i], 1)
	}
	if err := p.ParseArgs(args); err != nil {
		return nil, &UsageError{Problem: err.Error()}
	}
	for i, s := range subs {
		if s.Used {
			return &commands[i], nil
		}
	}
	p.ShowHelp()
	return nil, &UsageError{Problem: "no command was named"}
}

func newSubcommand(c *command) *flaggy.Subcommand {
	s := flaggy.NewSubcommand(c.path[strings.LastIndex(c.path, " ")+1:])
	s.Description = c.help
	for i, a := range c.args {
		s.AddPositionalValue(a.value, a.name, i+1, true, a.help)
	}
	for _, o := range c.options {
		switch {
		case o.text != nil:
			s.String(o.text, "", o.name, o.help)
		case o.number != nil:
			s.Int(o.number, "", o.name, o.help)
		default:
			s.Bool(o.on, "", o.name, o.help)
		}
	}
	return s
}

// envOrDefault returns an environment variable, or fallback if it is unset or empty.
func envOrDefault(name, fallback string) string {
	if v := os.Getenv(name); v != "" {
		return v
	}
	return fallback
}
