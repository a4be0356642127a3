// Command standin runs one case of the review: it starts a small deployment of the service as
// separate processes, plays its callers, backend servers and platform, and checks one rule.
//
// The exit status is 1 if the rule was broken, 0 if it held and 2 if the case could not run. If its
// last argument, the TROUBLE of the case's script, is 0, the case runs without its disruption.
package main

import (
	"fmt"
	"os"
	"time"
)

// Exit statuses.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// caseLimit ends a case that takes too long.
const caseLimit = 112 * time.Second

// reviewCase plays one case on a running site. It returns what broke the rule, one line each.
type reviewCase func(s *site, trouble bool) (broken []string, err error)

// cases holds the cases by name, with the size of their sites.
var cases = map[string]struct {
	play reviewCase
	size siteSize
}{
	"late-422":        {playLate422, rahbar},
	"core-killed":     {playCoreKilled, rahbar},
	"spoiled-ids":     {playSpoiledIDs, rahbar},
	"slow-stop":       {playSlowStop, rahbar},
	"many-channels":   {playManyChannels, limited},
	"cold-return":     {playColdReturn, swanfold},
	"other-writer":    {playOtherWriter, rahbar},
	"renamed-route":   {playRenamedRoute, rahbar},
	"sent-tenant":     {playSentTenant, rahbar},
	"foreign-streams": {playForeignStreams, rahbar},
}

func main() {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: standin CASE RECORD TROUBLE")
		os.Exit(exitFailed)
	}
	c, ok := cases[os.Args[1]]
	if !ok {
		fmt.Fprintf(os.Stderr, "no case is named %q\n", os.Args[1])
		os.Exit(exitFailed)
	}
	os.Exit(run(c.play, c.size, os.Args[2], os.Args[3] != "0"))
}

func run(play reviewCase, size siteSize, recordFile string, trouble bool) int {
	rec, err := newRecord(recordFile)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer rec.close()
	rec.add("case", "begins, disruption: %v", trouble)
	s, err := startSite(rec, size)
	if err != nil {
		rec.add("case", "could not run: %v", err)
		fmt.Fprintln(os.Stderr, "could not run:", err)
		return exitFailed
	}
	defer s.stop()
	guard := time.AfterFunc(caseLimit, func() {
		rec.add("case", "took too long")
		s.stop()
		os.Exit(exitFailed)
	})
	defer guard.Stop()
	broken, err := play(s, trouble)
	if err != nil {
		rec.add("case", "could not run: %v", err)
		fmt.Fprintln(os.Stderr, "could not run:", err)
		return exitFailed
	}
	for _, line := range broken {
		rec.add("case", "BROKEN: %s", line)
		fmt.Println("broken:", line)
	}
	if len(broken) > 0 {
		return exitBroken
	}
	rec.add("case", "the rule held")
	fmt.Println("the rule held")
	return exitHeld
}
