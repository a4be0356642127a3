package quorum

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// TestSuspendedLeaderHoldsNoLease simulates a suspension of the leader's machine. The
// monotonic clock stops during a suspension, so the lease must end because of the suspended
// time that Config.Suspended returns.
func TestSuspendedLeaderHoldsNoLease(t *testing.T) {
	var suspended atomic.Int64
	n, err := NewNode(Config{ID: 1, Timing: DefaultTiming(), Persist: func(Ready) error { return nil },
		Send: func([]Message) {}, Apply: func(uint64, []byte) any { return nil },
		Suspended: func() time.Duration { return time.Duration(suspended.Load()) }})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go n.Run(ctx)
	if err := n.Do(ctx, func() { n.core.Bootstrap(Members{{ID: 1, Addr: "a"}}) }); err != nil {
		t.Fatal(err)
	}
	for !holdsLease(n) {
		time.Sleep(time.Millisecond)
	}
	term := n.Status().Term
	suspended.Store(int64(2 * time.Second))
	if term2, _, ok := n.HoldsLease(); ok && term2 == term {
		t.Fatal("the lease is still valid after a suspension")
	}
	for !holdsLease(n) || n.Status().Term == term {
		time.Sleep(time.Millisecond)
	}
}

func holdsLease(n *Node) bool {
	_, _, ok := n.HoldsLease()
	return ok
}

// TestCallsEndWhileTheDiskIsFull guards against calls that last for as long as a disk is full, and are carried
// out after it has room, when nobody waits for them any more.
func TestCallsEndWhileTheDiskIsFull(t *testing.T) {
	var full atomic.Bool
	waits, room := make(chan struct{}, 1), make(chan struct{})
	applied := make(chan string, 8)
	n, err := NewNode(Config{ID: 1, Timing: DefaultTiming(), Send: func([]Message) {},
		Persist: func(Ready) error {
			if full.Load() {
				waits <- struct{}{}
				<-room
			}
			return nil
		},
		Apply: func(_ uint64, data []byte) any { applied <- string(data); return nil }})
	if err != nil {
		t.Fatal(err)
	}
	ctx := t.Context()
	go n.Run(ctx)
	if err := n.Do(ctx, func() { n.core.Bootstrap(Members{{ID: 1, Addr: "a"}}) }); err != nil {
		t.Fatal(err)
	}
	for !holdsLease(n) {
		time.Sleep(time.Millisecond)
	}
	full.Store(true)
	first := make(chan error, 1)
	go func() { _, err := n.Propose(ctx, []byte("first")); first <- err }()
	<-waits
	callCtx, cancel := context.WithTimeout(ctx, 100*time.Millisecond)
	defer cancel()
	ran, ended := false, make(chan error, 2)
	go func() { ended <- n.Do(callCtx, func() { ran = true }) }()
	go func() { _, err := n.Propose(callCtx, []byte("late")); ended <- err }()
	for range 2 {
		select {
		case err := <-ended:
			if !errors.Is(err, context.DeadlineExceeded) {
				t.Errorf("a call on a full disk: %v", err)
			}
		case <-time.After(2 * time.Second):
			t.Error("a call goes on for as long as the disk is full")
		}
	}
	full.Store(false)
	close(room)
	if err := <-first; err != nil {
		t.Error(err)
	}
	if err := n.Do(ctx, func() {}); err != nil {
		t.Fatal(err)
	}
	if _, err := n.Propose(ctx, []byte("last")); err != nil {
		t.Fatal(err)
	}
	if a, b := <-applied, <-applied; a != "first" || b != "last" || ran {
		t.Errorf("applied %q and %q, ran %v: a call that had ended was carried out", a, b, ran)
	}
}

// TestConcurrentSnapshotLosesNoCommands applies commands while snapshots are written on
// another goroutine. The last snapshot and the log after it must contain all applied
// commands.
func TestConcurrentSnapshotLosesNoCommands(t *testing.T) {
	var mu sync.Mutex
	var state []byte
	var disk struct {
		snap    Snapshot
		entries map[uint64][]byte
	}
	disk.entries = map[uint64][]byte{}
	n, err := NewNode(Config{ID: 1, Timing: DefaultTiming(), SnapshotBytes: 10, Send: func([]Message) {},
		Persist: func(r Ready) error {
			for _, e := range r.Entries {
				if e.Kind == EntryCommand {
					disk.entries[e.Index] = e.Data
				}
			}
			return nil
		},
		Apply: func(_ uint64, data []byte) any { state = append(state, data...); return nil },
		Freeze: func() func(io.Writer) error {
			now := slices.Clone(state)
			return func(w io.Writer) error { _, err := w.Write(now); return err }
		},
		WriteSnapshot: func(s Snapshot, write func(io.Writer) error) error {
			mu.Lock()
			defer mu.Unlock()
			var data bytes.Buffer
			err := write(&data)
			s.Data = data.Bytes()
			disk.snap = s
			return err
		},
		Trim: func(index uint64) error {
			for i := range disk.entries {
				if i <= index {
					delete(disk.entries, i)
				}
			}
			return nil
		}})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	stopped := make(chan struct{})
	go func() { n.Run(ctx); close(stopped) }()
	if err := n.Do(ctx, func() { n.core.Bootstrap(Members{{ID: 1, Addr: "a"}}) }); err != nil {
		t.Fatal(err)
	}
	for !holdsLease(n) {
		time.Sleep(time.Millisecond)
	}
	want := ""
	for i := range 200 {
		text := fmt.Sprintf("%d,", i)
		if _, err := n.Propose(ctx, []byte(text)); err != nil {
			t.Fatal(err)
		}
		want += text
	}
	cancel()
	<-stopped
	mu.Lock()
	defer mu.Unlock()
	got := string(disk.snap.Data)
	for _, i := range slices.Sorted(maps.Keys(disk.entries)) {
		if i > disk.snap.Index {
			got += string(disk.entries[i])
		}
	}
	if got != want || disk.snap.Index == 0 {
		t.Fatalf("snapshot at %d and the log after it contain %q, want %q", disk.snap.Index, got, want)
	}
}
