// Command measure runs measurements against real processes and prints Markdown tables. The
// first argument selects one: capacity, samples, overhead, tokens, rollout, spending,
// scenarios or all, which is the default. A scenario and a policy may follow.
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
	selected := "all"
	if len(os.Args) > 1 {
		selected = os.Args[1]
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
	for _, x := range measurements(bins, os.Args) {
		if selected != "all" && selected != x.name {
			continue
		}
		if err := x.run(); err != nil {
			return fmt.Errorf("%s: %w", x.name, err)
		}
	}
	return nil
}

// binaries are the paths of the programs, the fixture and the working directory.
type binaries struct{ program, standin, fixture, dir string }

// measurement is a measurement and the name that selects it.
type measurement struct {
	name string
	run  func() error
}

// measurements returns the measurements in the order in which they run. args[2] and args[3]
// may name a scenario and a policy.
func measurements(b binaries, args []string) []measurement {
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
	return []measurement{{"capacity", c.Run}, {"samples", c.Samples}, {"overhead", o.Run}, {"tokens", o.Tokens},
		{"rollout", r.Run}, {"spending", m.Run}, {"scenarios", s.Run}}
}
