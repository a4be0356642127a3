// Command standin runs one fake of an external system: an engine, a plain service, the
// platform, the weight store or a trainer.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"text/tabwriter"
	"time"

	"github.com/integrii/flaggy"

	"github.com/plantainbank/plantainbank/internal/standin"
	"github.com/plantainbank/plantainbank/pkg/connection/caller"
)

// flags are the command-line flags of all subcommands.
type flags struct {
	base                    standin.Base
	entries, token, keyFile string
	workTime, swapTime      time.Duration
	warmupRequests, rate    int
	fences                  bool
	store, rollout          string
	groups, samples, tokens int
	step, version           int
}

func main() {
	f := &flags{workTime: 5 * time.Millisecond, swapTime: 50 * time.Millisecond, rate: 20, groups: 8, samples: 8, tokens: 24, step: 1, version: 1}
	f.base = standin.Base{Addr: "127.0.0.1:0", Zone: "lahore", Pool: "slips", Class: "steady", Capacity: 8}
	engine, service := f.serverCommand("engine"), f.serverCommand("service")
	platform := flaggy.NewSubcommand("platform")
	platform.String(&f.base.Addr, "", "addr", "Address.")
	platform.Bool(&f.fences, "", "fences", "Reject orders with an old fencing token.")
	store := flaggy.NewSubcommand("weightstore")
	store.String(&f.base.Addr, "", "addr", "Address.")
	store.Int(&f.rate, "", "rate", "Fetches per second.")
	trainer := f.trainerCommand()
	for _, s := range []*flaggy.Subcommand{engine, service, platform, store, trainer} {
		flaggy.AttachSubcommand(s, 1)
	}
	flaggy.Parse()
	f.base.Entries = strings.Split(f.entries, ",")
	f.base.Token = f.token
	var err error
	switch {
	case engine.Used:
		_, err = standin.StartEngine(standin.EngineConfig{Base: f.base, TokenTime: f.workTime, WarmupRequests: f.warmupRequests, Fences: f.fences, Store: f.store, SwapTime: f.swapTime})
	case service.Used:
		_, err = standin.StartService(standin.ServiceConfig{Base: f.base, Work: f.workTime})
	case platform.Used:
		_, err = standin.StartPlatform(standin.PlatformConfig{Addr: f.base.Addr, Fences: f.fences})
	case store.Used:
		_, err = standin.StartWeightStore(f.base.Addr, f.rate)
	case trainer.Used:
		if err = f.train(); err == nil {
			return
		}
	default:
		flaggy.ShowHelpAndExit("no subcommand was named")
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
		os.Exit(1)
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	<-ctx.Done()
}

func (f *flags) serverCommand(name string) *flaggy.Subcommand {
	s := flaggy.NewSubcommand(name)
	s.String(&f.base.ID, "", "id", "Unique name.")
	s.String(&f.base.Addr, "", "addr", "Address.")
	s.String(&f.base.Zone, "", "zone", "Availability zone.")
	s.String(&f.base.Pool, "", "pool", "Pool.")
	s.String(&f.base.Class, "", "class", "Class: steady or cheap.")
	s.Int(&f.base.Capacity, "", "bears", "Maximum number of concurrent requests.")
	s.String(&f.entries, "", "entries", "Addresses for announcements, separated by commas.")
	s.String(&f.token, "", "token", "Token for announcements.")
	s.Duration(&f.workTime, "", "work", "Time for one token or one request.")
	s.Duration(&f.swapTime, "", "swap", "Time to load weights.")
	s.Duration(&f.base.AnnounceDelay, "", "delay", "Time between serving and the first announcement.")
	s.Int(&f.warmupRequests, "", "cold", "Served requests until the engine reaches its full capacity.")
	s.Bool(&f.fences, "", "fences", "Reject orders with an old fencing token.")
	s.String(&f.store, "", "store", "Address of the weight store.")
	return s
}

func (f *flags) trainerCommand() *flaggy.Subcommand {
	s := flaggy.NewSubcommand("trainer")
	s.String(&f.entries, "", "entries", "Callers' addresses, separated by commas.")
	s.String(&f.keyFile, "", "key", "File with the key.")
	s.String(&f.rollout, "", "rollout", "Rollout configuration.")
	s.Int(&f.groups, "", "groups", "Groups of the step.")
	s.Int(&f.samples, "", "samples", "Samples per group.")
	s.Int(&f.tokens, "", "tokens", "Tokens per sample.")
	s.Int(&f.step, "", "step", "Number of the step.")
	s.Int(&f.version, "", "weights", "Weight version to publish first.")
	return s
}

// train runs one training step and prints its samples.
func (f *flags) train() error {
	key, err := os.ReadFile(f.keyFile)
	if err != nil {
		return err
	}
	t := &standin.Trainer{Entries: strings.Split(f.entries, ","), Key: string(key), Rollout: f.rollout,
		Groups: f.groups, Samples: f.samples, Tokens: f.tokens}
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Second)
	defer cancel()
	if err := t.Publish(ctx, uint64(f.version)); err != nil {
		return err
	}
	if err := t.Open(ctx, uint64(f.step)); err != nil {
		return err
	}
	samples, err := t.Collect(ctx, uint64(f.step), 1)
	if err != nil {
		return err
	}
	printSamples(samples)
	return nil
}

func printSamples(samples []caller.Sample) {
	w := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)
	defer w.Flush()
	fmt.Fprintln(w, "POSITION\tGROUP\tSLOT\tVERSIONS\tAGE\tSCORE\tBACKEND\tHOST")
	for _, s := range samples {
		fmt.Fprintf(w, "%d\t%d\t%d\t%v\t%d\t%.3f\t%s\t%s\n", s.Position, s.Group, s.Slot, s.Versions, s.Age, s.Score, s.Backend, s.Host)
	}
}
