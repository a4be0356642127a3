// Command measure measures real processes and prints Markdown tables. Its
// argument names the part: capacity, overhead, rollout,
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
	part := "all"
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
	if part == "capacity" || part == "all" {
		c := &measure.Capacity{Bin: filepath.Join(bin, "plantainbank"), Standin: filepath.Join(bin, "standin"),
			Fixture: filepath.Join("_fixtures", "rahbar"), Dir: dir, Period: 6 * time.Second, Out: os.Stdout}
		if err := c.Run(); err != nil {
			return err
		}
	}
	if part == "overhead" || part == "all" {
		o := &measure.Overhead{Bin: filepath.Join(bin, "plantainbank"), Standin: filepath.Join(bin, "standin"),
			Fixture: filepath.Join("_fixtures", "rahbar"), Dir: dir, Out: os.Stdout}
		if err := o.Run(); err != nil {
			return err
		}
	}
	if part == "rollout" || part == "all" {
		r := &measure.Rollout{Bin: filepath.Join(bin, "plantainbank"), Standin: filepath.Join(bin, "standin"),
			Fixture: filepath.Join("_fixtures", "rahbar"), Dir: dir, Out: os.Stdout}
		if err := r.Run(); err != nil {
			return err
		}
	}
	if part == "spending" || part == "all" {
		s := &measure.Spending{Bin: filepath.Join(bin, "plantainbank"), Standin: filepath.Join(bin, "standin"),
			Fixture: filepath.Join("_fixtures", "rahbar"), Dir: dir, Out: os.Stdout}
		if err := s.Run(); err != nil {
			return err
		}
	}
	if part == "scenarios" || part == "all" {
		s := &measure.ScenarioRun{Bin: filepath.Join(bin, "plantainbank"), Standin: filepath.Join(bin, "standin"),
			Fixture: filepath.Join("_fixtures", "rahbar"), Dir: dir, Rounds: 2, Out: os.Stdout}
		if len(os.Args) > 2 {
			s.Only = os.Args[2]
			s.Rounds = 1
			s.Detail = true
		}
		if len(os.Args) > 3 {
			s.Policy = os.Args[3]
		}
		return s.Run()
	}
	return nil
}
