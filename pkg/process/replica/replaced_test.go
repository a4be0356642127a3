package replica

import (
	"context"
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/plantainbank/plantainbank/pkg/process/disk"
	"github.com/plantainbank/plantainbank/pkg/process/quorum"
)

// Times of a replacement, after the pages of the platform.
const (
	// catchUpTime is how long a successor runs before the host that it replaces stops counting.
	catchUpTime = 4400 * time.Millisecond
	// stateChunk is the size of the commands that make up a large state.
	stateChunk = 512 << 10
	// graceTime is the time between SIGTERM and SIGKILL.
	graceTime = 8 * time.Second
	// ackTime is the time in which a change must be acknowledged once a new leader had time to
	// be elected.
	ackTime = 8 * time.Second
)

// replacement is a host that is replaced, and a disk that is lost afterwards.
type replacement struct {
	// hosts is the number of hosts before, of which three vote.
	hosts int
	// ended is how the replaced host ends: "leave", "kill" or "cut".
	ended string
	// leader is true if the leader is replaced.
	leader bool
	// ahead is how long the successor has run before.
	ahead time.Duration
	// loss is when the disk is lost, after the end; follower is true if it is not the leader's.
	loss     time.Duration
	follower bool
	// state is the size of the state in bytes.
	state int
}

// add starts a host without a replica in the group.
func (c *cluster) add(t *testing.T) int {
	c.newHost(t)
	c.start(t, len(c.hosts)-1)
	return len(c.hosts) - 1
}

// voter returns the number of a host that votes, the leader or another one.
func (c *cluster) voter(t *testing.T, leader bool) int {
	t.Helper()
	lead := c.leader(t)
	if leader {
		return lead
	}
	return slices.IndexFunc(c.hosts, func(h *replicaHost) bool {
		return h != c.hosts[lead] && h.down.Load() == 0 && !h.cut.Load() && c.hosts[lead].replica.Load().Node().Status().Members.IsVoter(quorum.NodeID(h.replica.Load().Disk()))
	})
}

// end ends a host as w.ended says.
func (c *cluster) end(t *testing.T, i int, how string) {
	t.Helper()
	h := c.hosts[i]
	switch how {
	case "leave":
		ctx, cancel := context.WithTimeout(t.Context(), graceTime)
		start := time.Now()
		h.replica.Load().Leave(ctx)
		cancel()
		if h.replica.Load().Voter() {
			t.Errorf("host %d still votes when it stops", i)
		}
		t.Logf("left after %v", time.Since(start))
		c.kill(i)
	case "cut":
		h.cut.Store(true)
	default:
		c.kill(i)
	}
}

// number returns a command.
func number(n uint64) []byte { return binary.BigEndian.AppendUint64(nil, n) }

// mustCommit fails the test if a change is not acknowledged in time, or if an acknowledged one is gone.
func (c *cluster) mustCommit(t *testing.T, acknowledged []uint64, n uint64) {
	t.Helper()
	start := time.Now()
	for done := false; !done; time.Sleep(10 * time.Millisecond) {
		if time.Since(start) > ackTime {
			t.Fatalf("no change is acknowledged %v after the loss", ackTime)
		}
		for _, h := range c.hosts {
			if h.down.Load() != 0 || h.cut.Load() {
				continue
			}
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			_, err := h.replica.Load().Node().Propose(ctx, number(n))
			cancel()
			if done = err == nil; done {
				break
			}
		}
	}
	state := c.stateOf(c.leader(t))
	have := numbers(state[max(0, len(state)-8*64):], 0) // a large state has other commands before
	for _, n := range acknowledged {
		if !have[n] {
			t.Fatalf("change %d was acknowledged and is gone", n)
		}
	}
}

// TestReplacedHostThenLostDisk guards against a group that has no leader any more after one of its hosts was
// replaced and another one lost its disk: the voter that had gone still counted.
func TestReplacedHostThenLostDisk(t *testing.T) {
	var rows []replacement
	for _, loss := range []time.Duration{0, 200 * time.Millisecond, time.Second, 2 * time.Second, 3500 * time.Millisecond, 4420 * time.Millisecond, 4800 * time.Millisecond, 5500 * time.Millisecond, 10 * time.Second} {
		rows = append(rows, replacement{hosts: 3, ended: "leave", ahead: catchUpTime, loss: loss})
	}
	for _, hosts := range []int{3, 5} {
		for _, leader := range []bool{false, true} {
			rows = append(rows,
				replacement{hosts: hosts, ended: "leave", leader: leader, ahead: catchUpTime},
				replacement{hosts: hosts, ended: "leave", leader: leader, ahead: catchUpTime, follower: true},
				replacement{hosts: hosts, ended: "leave", leader: leader, ahead: time.Second, loss: 200 * time.Millisecond},
				replacement{hosts: hosts, ended: "kill", leader: leader, ahead: catchUpTime, loss: 4420 * time.Millisecond},
				replacement{hosts: hosts, ended: "cut", leader: leader, ahead: catchUpTime, loss: 4420 * time.Millisecond},
				replacement{hosts: hosts, ended: "kill", leader: leader, ahead: -100 * time.Millisecond, loss: 100*time.Millisecond + catchUpTime})
		}
	}
	checkReplacements(t, rows)
}

// TestReplacedHostWithLargeState guards against the same where the successor needs time to catch up.
func TestReplacedHostWithLargeState(t *testing.T) {
	for i, w := range []replacement{
		{hosts: 3, ended: "leave", ahead: catchUpTime, state: 80 << 20},
		{hosts: 3, ended: "leave", ahead: 100 * time.Millisecond, state: 80 << 20},
		{hosts: 3, ended: "kill", ahead: -100 * time.Millisecond, loss: 100*time.Millisecond + catchUpTime, state: 80 << 20},
	} {
		// One at a time: each holds the state five times.
		t.Run(fmt.Sprintf("%d/%+v", i, w), func(t *testing.T) { checkReplacement(t, w) })
	}
}

// TestKilledHostThenLostDiskAtOnce guards against the same where the replaced host ends without a signal, its successor
// running, and the disk is lost before its silence counts as its end.
func TestKilledHostThenLostDiskAtOnce(t *testing.T) {
	var rows []replacement
	for _, loss := range []time.Duration{0, 200 * time.Millisecond, 2 * time.Second} {
		rows = append(rows, replacement{hosts: 3, ended: "kill", ahead: catchUpTime, loss: loss}, replacement{hosts: 3, ended: "cut", ahead: catchUpTime, loss: loss})
	}
	checkReplacements(t, rows)
}

// checkReplacements plays each replacement and checks that the group goes on with all that it has acknowledged.
func checkReplacements(t *testing.T, rows []replacement) {
	t.Helper()
	for i, w := range rows {
		t.Run(fmt.Sprintf("%d/%+v", i, w), func(t *testing.T) {
			t.Parallel()
			checkReplacement(t, w)
		})
	}
}

func checkReplacement(t *testing.T, w replacement) {
	t.Helper()
	c := newClusterOf(t, w.hosts, 3, func(int) disk.Files { return disk.RealFiles() })
	if w.state > 0 {
		for range w.state / stateChunk {
			c.propose(t, make([]byte, stateChunk))
		}
	}
	c.mustCommit(t, nil, 1)
	if w.ahead >= 0 {
		c.add(t)
		time.Sleep(w.ahead)
	}
	c.end(t, c.voter(t, w.leader), w.ended)
	ended := time.Now()
	if w.ahead < 0 {
		time.Sleep(-w.ahead)
		c.add(t)
	}
	if w.loss > 500*time.Millisecond {
		time.Sleep(time.Until(ended.Add(w.loss - 500*time.Millisecond)))
		c.mustCommit(t, []uint64{1}, 2)
	}
	time.Sleep(time.Until(ended.Add(w.loss)))
	lost := -1
	if w.follower {
		lost = c.voter(t, false)
	} else if lost = slices.IndexFunc(c.hosts, func(h *replicaHost) bool {
		_, _, ok := h.replica.Load().Node().HoldsLease()
		return ok && h.down.Load() == 0 && !h.cut.Load()
	}); lost < 0 {
		lost = slices.IndexFunc(c.hosts, func(h *replicaHost) bool { return h.down.Load() == 0 && !h.cut.Load() && h.replica.Load().Voter() })
	}
	c.kill(lost)
	time.Sleep(time.Second)
	c.start(t, lost)
	c.mustCommit(t, []uint64{1}, 3)
}

// TestHostsReplacedInSeries guards against votes that are handed over to hosts which then leave themselves: all
// hosts are replaced or restarted one after another, and the disk of one is lost after each.
func TestHostsReplacedInSeries(t *testing.T) {
	for _, hosts := range []int{3, 4, 5} {
		for _, roll := range []bool{false, true} {
			t.Run(fmt.Sprintf("%d hosts, roll %v", hosts, roll), func(t *testing.T) {
				t.Parallel()
				c := newClusterOf(t, hosts, 3, func(int) disk.Files { return disk.RealFiles() })
				var acknowledged []uint64
				commit := func() {
					n := uint64(len(acknowledged) + 1)
					c.mustCommit(t, acknowledged, n)
					acknowledged = append(acknowledged, n)
				}
				for i := range hosts {
					commit()
					if !roll {
						c.add(t)
						time.Sleep(catchUpTime)
					}
					ctx, cancel := context.WithTimeout(t.Context(), graceTime)
					start := time.Now()
					c.hosts[i].replica.Load().Leave(ctx)
					cancel()
					c.kill(i)
					if took := time.Since(start); took > 2*time.Second {
						t.Errorf("host %d left after %v", i, took)
					}
					if roll {
						time.Sleep(time.Second)
						c.restart(t, i)
						commit()
						time.Sleep(catchUpTime)
					}
					if !roll || hosts > 3 {
						c.wipe(t, c.leader(t))
						commit()
						time.Sleep(catchUpTime)
					}
				}
				commit()
			})
		}
	}
}

// TestAllKilledWhileAVoteMoves guards against a group that does not find together again after all of its
// processes were killed and started with their disks while one host took over the vote of another.
func TestAllKilledWhileAVoteMoves(t *testing.T) {
	for seed := range uint64(12) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			r := rand.New(rand.NewPCG(seed, 3))
			c := newClusterOf(t, 3+2*r.IntN(2), 3, func(int) disk.Files { return disk.RealFiles() })
			c.mustCommit(t, nil, 1)
			c.add(t)
			if r.IntN(2) == 0 {
				time.Sleep(time.Second)
			}
			leaver := c.voter(t, r.IntN(2) == 0)
			ctx, cancel := context.WithCancel(t.Context())
			left := make(chan struct{})
			go func() { defer close(left); c.hosts[leaver].replica.Load().Leave(ctx) }()
			time.Sleep(time.Duration(r.IntN(150)) * time.Millisecond)
			for i := range c.hosts {
				c.kill(i)
			}
			cancel()
			<-left
			for i := range c.hosts {
				c.restart(t, i)
			}
			c.mustCommit(t, []uint64{1}, 2)
			time.Sleep(catchUpTime)
			c.wipe(t, c.leader(t))
			c.mustCommit(t, []uint64{1, 2}, 3)
		})
	}
}

// TestLeaveWithoutSuccessor guards against a process that waits in vain for another host to take its vote.
func TestLeaveWithoutSuccessor(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 3)
	c.mustCommit(t, nil, 1)
	for _, leader := range []bool{false, true} {
		i := c.voter(t, leader)
		start := time.Now()
		c.hosts[i].replica.Load().Leave(t.Context())
		if took := time.Since(start); took > 500*time.Millisecond || !c.hosts[i].replica.Load().Voter() {
			t.Errorf("left after %v, votes: %v", took, c.hosts[i].replica.Load().Voter())
		}
	}
}
