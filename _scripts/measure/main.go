// Command measure measures real processes and prints Markdown tables. Its
// argument names the part: capacity, samples, overhead, tokens, rollout,
// spending, scenarios or all. A scenario and a policy may follow.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/plantainbank/plantainbank/internal/measure"
)

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "measure:", err)
		os.Exit(1)
	}
}

func run() error {
	part := "all" // the part to run
	if len(os.Args) > 1 {
		part = os.Args[1]
	}
	dir, err := os.MkdirTemp("", "plantainbank-measure-")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	bin, err := filepath.Abs(".bin")
	if err != nil {
		return err
	}
	bins := binaries{filepath.Join(bin, "plantainbank"), filepath.Join(bin, "standin"), filepath.Join("_fixtures", "rahbar"), dir}
	for _, x := range parts(bins, os.Args) {
		if part != "all" && part != x.name {
			continue
		}
		if err := x.run(); err != nil {
			return fmt.Errorf("%s: %w", x.name, err)
		}
	}
	return nil
}

// binaries names the programs, the fixture and the working folder.
type binaries struct{ program, standin, fixture, dir string }

// part is one measurement.
type part struct {
	name string
	run  func() error
}

// parts lists the measurements in the order in which they run. After the part,
// the arguments may name a scenario and a policy.
func parts(b binaries, args []string) []part {
	c := &measure.Capacity{Bin: b.program, Standin: b.standin, Fixture: b.fixture, Dir: b.dir, Period: 6 * time.Second, Out: os.Stdout}
	o := &measure.Overhead{Bin: b.program, Standin: b.standin, Fixture: b.fixture, Dir: b.dir, Out: os.Stdout}
	r := &measure.Rollout{Bin: b.program, Standin: b.standin, Fixture: b.fixture, Dir: b.dir, Out: os.Stdout}
	m := &measure.Spending{Bin: b.program, Standin: b.standin, Fixture: b.fixture, Dir: b.dir, Out: os.Stdout}
	s := &measure.ScenarioRun{Bin: b.program, Standin: b.standin, Fixture: b.fixture, Dir: b.dir, Rounds: 2, Out: os.Stdout}
	if len(args) > 2 {
		s.ScenarioFilter, s.Rounds, s.Verbose = args[2], 1, true
	}
	if len(args) > 3 {
		s.PolicyFilter = args[3]
	}
	return []part{{"capacity", c.Run}, {"samples", c.Samples}, {"overhead", o.Run}, {"tokens", o.Tokens},
		{"rollout", r.Run}, {"spending", m.Run}, {"scenarios", s.Run}}
}
