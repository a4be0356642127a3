package cmds

import (
	"fmt"
	"io"
	"os"
	"path/filepath"

	"github.com/plantainbank/plantainbank/internal/process/history"
)

func whyCommand() command {
	var id, dir string
	return command{
		path: "why",
		help: "Print the timeline of a request, batch, item or instance from logs.",
		detail: "Reads log lines of any number of processes, from the files of a directory or from standard input, and prints " +
			"the lines that name the id, ordered by time, with the state changes that the processes concerned logged meanwhile. " +
			"Exits 1 if no line names it.",
		args:    []argument{{"id", "The id of a request, batch, item, instance or the like.", &id}},
		options: []option{{name: "logs", help: "Directory with log files; default standard input.", text: &dir}},
		run:     func(env *env) error { return why(env, id, dir, os.Stdin) },
	}
}

// why prints the timeline of an id.
func why(env *env, id, dir string, in io.Reader) error {
	var lines []history.Line
	var bad int
	var err error
	if dir == "" {
		lines, bad, err = history.Read(in)
	} else {
		lines, bad, err = readDir(dir)
	}
	if err != nil {
		return err
	}
	timeline := history.Timeline(lines, id)
	if len(timeline) == 0 {
		return fmt.Errorf("none of %d log lines names %q (%d lines could not be read)", len(lines), id, bad)
	}
	for i := range timeline {
		fmt.Fprintln(env.out, timeline[i].String())
	}
	return nil
}

// readDir reads the log lines of all regular files in a directory.
func readDir(dir string) (lines []history.Line, bad int, err error) {
	entries, err := os.ReadDir(dir)
	if err != nil {
		return nil, 0, err
	}
	for _, e := range entries {
		if !e.Type().IsRegular() {
			continue
		}
		f, err := os.Open(filepath.Join(dir, e.Name()))
		if err != nil {
			return nil, 0, err
		}
		more, n, err := history.Read(f)
		f.Close()
		if err != nil {
			return nil, 0, fmt.Errorf("%s: %w", f.Name(), err)
		}
		lines, bad = append(lines, more...), bad+n
	}
	return lines, bad, nil
}
