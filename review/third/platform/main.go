// Command platform, built as rig3, plays the scripts of the third review: it starts the project's processes with the commands of
// the deploy file, on loopback addresses, beside stand-ins of workers, consumers, the operator and the platform.
package main

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
)

// Exit codes of a script.
const (
	ruleHeld    = 0
	ruleBroken  = 1
	couldNotRun = 2
)

// errBroken reports a broken rule.
var errBroken = errors.New("the rule is broken")

// cases are the scripts by the names of their folders. Each returns errBroken, or another error if it could not run.
var cases = map[string]func(s *site, trouble bool) error{
	"11": replacedThenDiskLost,
	"12": routeNamesMove,
	"13": slowWorkerKeepsAlive,
	"14": greyWorkerFails,
	"15": coreReplacedThenDiskLost,
}

func main() {
	if len(os.Args) != 2 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig3 CASE")
		os.Exit(couldNotRun)
	}
	os.Exit(play(os.Args[1]))
}

func play(name string) int {
	rec, err := newRecord(filepath.Join("review", name, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return couldNotRun
	}
	defer rec.file.Close()
	trouble := os.Getenv("TROUBLE") != "0"
	rec.add("begin", "case", name, "trouble", trouble)
	s, err := newSite(rec)
	if err != nil {
		rec.add("could not run", "error", err)
		return couldNotRun
	}
	defer s.close()
	err = cases[name](s, trouble)
	switch {
	case errors.Is(err, errBroken):
		rec.add("RULE BROKEN", "error", err)
		return ruleBroken
	case err != nil:
		rec.add("could not run", "error", err)
		return couldNotRun
	}
	rec.add("the rule held")
	return ruleHeld
}
