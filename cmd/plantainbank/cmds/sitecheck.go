package cmds

import (
	"cmp"
	"context"
	"fmt"
	"net"
	"os"
	"text/tabwriter"

	"github.com/plantainbank/plantainbank/internal/version/review"
	"github.com/plantainbank/plantainbank/platform"
)

// FindingsError reports that a configuration was checked and has findings.
type FindingsError struct{ Count int }

func (e *FindingsError) Error() string { return fmt.Sprintf("findings: %d", e.Count) }

// siteCheck is the command line of "site check".
type siteCheck struct {
	file, against, operators string
	memory                   int
	json                     bool
}

func siteCheckCommand() command {
	c := &siteCheck{}
	return command{
		path: "site check",
		help: "Check a configuration before it is sent to control.",
		detail: "Prints the errors for which control would refuse the configuration; if there are none, the entries that can never match, and the " +
			"limits that contradict each other. With --against or --operators it also prints what differs from the version in force; " +
			"these differences alone are no findings. Exits 0 without findings, 1 with findings, and 2 if the command line is wrong or a configuration cannot be read.",
		args: []argument{{"file", "The configuration, as it is sent to control.", &c.file}},
		options: []option{
			{name: "against", help: "File with the version in force.", text: &c.against},
			{name: "operators", help: "Address (host:port) for operators of a control process, to read the version in force from.", text: &c.operators},
			{name: "memory", help: "Memory of the smallest host, in MB.", number: &c.memory},
			{name: "json", help: "Print JSON.", on: &c.json},
		},
		run: c.run,
	}
}

func (c *siteCheck) run(env *env) error {
	if c.against != "" && c.operators != "" {
		return &UsageError{Problem: "--against and --operators exclude each other"}
	}
	if c.memory < 0 {
		return &UsageError{Problem: "--memory must not be negative"}
	}
	document, err := os.ReadFile(c.file)
	if err != nil {
		return &UsageError{Problem: err.Error()}
	}
	inForce, err := c.inForce()
	if err != nil {
		return err
	}
	r, err := platform.ReviewConfig(document, inForce, c.memory)
	if err != nil {
		return &UsageError{Problem: err.Error()}
	}
	if c.json {
		err = printJSON(env, r)
	} else {
		err = printReview(env, r)
	}
	if err == nil && len(r.Findings) > 0 {
		err = &FindingsError{Count: len(r.Findings)}
	}
	return err
}

// inForce returns the version in force, nil if none was asked for.
func (c *siteCheck) inForce() ([]byte, error) {
	switch {
	case c.against != "":
		data, err := os.ReadFile(c.against)
		if err != nil {
			return nil, &UsageError{Problem: "--against: " + err.Error()}
		}
		return data, nil
	case c.operators != "":
		if _, _, err := net.SplitHostPort(c.operators); err != nil {
			return nil, &UsageError{Problem: "--operators: " + err.Error()}
		}
		data, err := platform.FetchConfig(context.Background(), c.operators)
		if err != nil {
			return nil, &UsageError{Problem: "--operators: " + err.Error()}
		}
		return data, nil
	}
	return nil, nil
}

// printReview prints one line for each finding and each change.
func printReview(env *env, r *platform.Review) error {
	if len(r.Findings) == 0 {
		fmt.Fprintln(env.out, "no findings")
	}
	w := tabwriter.NewWriter(env.out, 0, 4, 2, ' ', 0)
	for _, f := range r.Findings {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\n", f.Kind, f.Field, cmp.Or(f.Entry, "-"), f.Problem)
	}
	for _, c := range r.Changes {
		fmt.Fprintln(w, changeLine(c))
	}
	if r.InForce != nil && len(r.Changes) == 0 {
		fmt.Fprintf(w, "no changes since version %d\n", *r.InForce)
	}
	return w.Flush()
}

func changeLine(c review.Change) string {
	where, entry := c.Section, cmp.Or(c.Entry, "-")
	if c.Field != "" {
		where += "." + c.Field
	}
	switch {
	case c.Before == "":
		return fmt.Sprintf("added\t%s\t%s", where, entry)
	case c.After == "":
		return fmt.Sprintf("removed\t%s\t%s", where, entry)
	}
	return fmt.Sprintf("changed\t%s\t%s\t%s -> %s", where, entry, c.Before, c.After)
}
