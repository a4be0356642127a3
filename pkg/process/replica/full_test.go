package replica

import (
	"bytes"
	"context"
	"encoding/binary"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/plantainbank/plantainbank/pkg/process/disk"
)

var (
	fullSeeds = flag.Int("full.seeds", 2, "seeds of TestFullDisksInSeries")
	fullFirst = flag.Uint64("full.first", 1, "first seed of TestFullDisksInSeries")
	fullLong  = flag.Bool("full.long", false, "disks are full for longer than members may be silent")
)

// fullDisk is a disk that can be full. Where it is noticed differs between file systems.
type fullDisk struct {
	full atomic.Bool
	// late disks take writes while full, and fail to sync them.
	late atomic.Bool
}

func (x *fullDisk) files() disk.Files {
	files := disk.RealFiles()
	write, sync := files.Write, files.Sync
	files.Write = func(f *os.File, p []byte) (int, error) {
		if x.full.Load() && !x.late.Load() {
			n, err := write(f, p[:len(p)/2])
			if err == nil {
				err = syscall.ENOSPC
			}
			return n, err
		}
		return write(f, p)
	}
	files.Sync = func(f *os.File) error {
		if x.full.Load() && x.late.Load() {
			return syscall.ENOSPC
		}
		return sync(f)
	}
	return files
}

// callers propose numbered commands at random hosts, as operators do, until stop is closed.
type callers struct {
	mu           sync.Mutex
	acknowledged []uint64
	lastAck      time.Time
}

func (x *callers) run(ctx context.Context, c *cluster, r *rand.Rand, size int) {
	for n := uint64(1); ctx.Err() == nil; n++ {
		command := binary.BigEndian.AppendUint64(bytes.Repeat([]byte{0}, size), n)
		for acknowledged := false; !acknowledged && ctx.Err() == nil; {
			h := c.hosts[r.IntN(len(c.hosts))]
			callCtx, cancel := context.WithTimeout(ctx, 900*time.Millisecond)
			_, err := h.replica.Load().Node().Propose(callCtx, command)
			cancel()
			if acknowledged = err == nil; !acknowledged {
				time.Sleep(20 * time.Millisecond)
				continue
			}
			x.mu.Lock()
			x.acknowledged, x.lastAck = append(x.acknowledged, n), time.Now()
			x.mu.Unlock()
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// numbers returns the numbers of the commands in a state.
func numbers(state []byte, size int) map[uint64]bool {
	out := map[uint64]bool{}
	for size += 8; len(state) >= size; state = state[size:] {
		out[binary.BigEndian.Uint64(state[size-8:])] = true
	}
	return out
}

// TestFullDisksInSeries guards against a group that accepts no change any more after the disks of its
// members were full one after another, while all processes run.
func TestFullDisksInSeries(t *testing.T) {
	const ackTime = 7 * time.Second // 3 s after the last fault the group must be stable, and has 4 s for a change
	for i := range *fullSeeds {
		seed := *fullFirst + uint64(i)
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			r := rand.New(rand.NewPCG(seed, 1))
			hosts := 3 + 2*r.IntN(2)
			disks := make([]*fullDisk, hosts)
			for i := range disks {
				disks[i] = &fullDisk{}
			}
			c := newClusterOf(t, hosts, 3, func(i int) disk.Files { return disks[i].files() })
			ctx, cancel := context.WithCancel(t.Context())
			size := []int{100, 200_000}[r.IntN(2)] // small commands, or ones that need snapshots
			calls, done := &callers{}, make(chan struct{})
			go func() { defer close(done); calls.run(ctx, c, rand.New(rand.NewPCG(seed, 2)), size) }()
			time.Sleep(time.Second)
			for range 6 {
				i := r.IntN(hosts)
				if r.IntN(2) == 0 {
					i = c.leader(t)
				}
				disks[i].late.Store(r.IntN(2) == 0)
				disks[i].full.Store(true)
				d := time.Duration(300+r.IntN(1200)) * time.Millisecond
				if *fullLong {
					d = time.Duration(3000+r.IntN(6000)) * time.Millisecond
				}
				time.Sleep(d)
				disks[i].full.Store(false)
				time.Sleep(time.Duration(r.IntN(800)) * time.Millisecond)
			}
			room := time.Now()
			waitUntil(t, "a change is acknowledged", func() bool {
				calls.mu.Lock()
				defer calls.mu.Unlock()
				return calls.lastAck.After(room)
			})
			if took := time.Since(room); took > ackTime {
				t.Errorf("the first change after the last disk had room took %v, want at most %v", took, ackTime)
			}
			time.Sleep(500 * time.Millisecond)
			cancel()
			<-done
			waitUntil(t, "all voters have all acknowledged changes", func() bool {
				for i, h := range c.hosts {
					have := numbers(c.stateOf(i), size)
					for _, n := range calls.acknowledged {
						if h.replica.Load().Voter() && !have[n] {
							return false
						}
					}
				}
				return true
			})
		})
	}
}
