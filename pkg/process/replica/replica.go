package replica

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/twitchtv/twirp"
	"github.com/uber-go/tally/v4"
	"golang.org/x/sync/errgroup"

	"github.com/plantainbank/plantainbank/pkg/process/clock"
	"github.com/plantainbank/plantainbank/pkg/process/disk"
	"github.com/plantainbank/plantainbank/pkg/process/quorum"
	"github.com/plantainbank/plantainbank/service/peer"
)

// Intervals and limits of a replica.
const (
	// planInterval is how often the leader checks whether the membership must change.
	planInterval = 250 * time.Millisecond
	// changeTimeout bounds one membership change.
	changeTimeout = 2 * time.Second
	// diskFullRetryDelay is the delay before a write to a full disk is retried.
	diskFullRetryDelay = 100 * time.Millisecond
	// maxDiskFullWait is how long a starting process waits for free disk space.
	maxDiskFullWait = 8 * time.Second
	// snapshotEvery bounds the number of entries that a restart reads.
	snapshotEvery = 20000
	// snapshotBytes bounds the size of the log on disk and in memory.
	snapshotBytes = 12 << 20
)

// Config contains the settings of a Replica and the functions that its embedder supplies.
type Config struct {
	// Dir is the data directory.
	Dir string
	// Self is the address of this replica for messages from its peers.
	Self string
	// Replicas is the number of voters that the group should have.
	Replicas int
	Files    disk.Files
	Timing   quorum.Timing
	Client   *http.Client
	Log      *logrus.Entry
	// Scope receives the metrics; nil for none.
	Scope tally.Scope
	// Apply, Save and Restore are the state machine; see quorum.Config.
	Apply   func(index uint64, data []byte) any
	Save    func() []byte
	Restore func(r io.Reader) error
	// Freeze captures the state as it is now and returns a function that writes it and runs
	// on another goroutine. Snapshots are then stored as a stream and sent in chunks. If
	// Freeze is nil, the state must fit one message.
	Freeze func() (write func(io.Writer) error)
	// Changed is called on the node's goroutine when the role, the term or the leader
	// changes.
	Changed func(quorum.Status)
	// Survey is that of quorum.Config.
	Survey bool
	// Hosts returns the hosts known to this process that can run a replica.
	Hosts func() []Host
}

// Replica is one member of a group, or a process that waits to become one.
type Replica struct {
	cfg   Config
	disk  *disk.Disk
	node  *quorum.Node
	peers *Transport
	// receiver collects the chunks of a snapshot from the leader.
	receiver *snapshotReceiver
	empty    bool
	// stopping is set when Run ends. It stops the retries on a full disk.
	stopping atomic.Bool
	// departures contains the replicas that are about to stop, this one among them.
	departures departures
	// replan makes the leader check at once whether the membership must change.
	replan chan struct{}
}

// New opens the data directory. Close releases it.
func New(cfg Config) (*Replica, error) {
	if cfg.Scope == nil {
		cfg.Scope = tally.NoopScope
	}
	d, saved, err := openDisk(cfg)
	if err != nil {
		return nil, err
	}
	r := &Replica{cfg: cfg, disk: d, replan: make(chan struct{}, 1), peers: NewTransport(cfg.Client, "http://", cfg.Self, cfg.Timing.Election)}
	persisted, err := DecodeSaved(saved)
	if err != nil {
		d.Close()
		return nil, err
	}
	if saved.TornBytes > 0 {
		cfg.Log.WithField("bytes", saved.TornBytes).Warn("removed an unfinished write from the end of the log")
	}
	r.empty = persisted.Hard.Term == 0 && len(persisted.Entries) == 0 && persisted.Snapshot.Index == 0
	var sendSnapshot func(quorum.Message, func(io.Writer) error)
	if cfg.Freeze != nil {
		sendSnapshot = r.sendSnapshot
	}
	r.receiver = &snapshotReceiver{disk: d, deliver: func(m quorum.Message) { r.node.Deliver(m) }}
	r.node, err = quorum.NewNode(quorum.Config{
		ID: quorum.NodeID(d.ID()), Timing: cfg.Timing, Seed: d.ID(), Persisted: persisted,
		Persist:       r.persist,
		Send:          func(m []quorum.Message) { r.peers.Send(r.node.Status().Members, m) },
		Apply:         cfg.Apply,
		Save:          cfg.Save,
		Restore:       cfg.Restore,
		SaveSnapshot:  func(s quorum.Snapshot) error { return SaveSnapshot(d, s) },
		Freeze:        cfg.Freeze,
		SendSnapshot:  sendSnapshot,
		WriteSnapshot: func(s quorum.Snapshot, write func(io.Writer) error) error { return WriteSnapshot(d, s, write) },
		Trim:          d.Trim,
		SnapshotFailed: func(err error) {
			cfg.Log.WithError(err).Warn("failed to store a snapshot; retrying later")
		},
		SnapshotEvery: snapshotEvery,
		SnapshotBytes: snapshotBytes,
		Suspended:     clock.Suspended,
		Survey:        cfg.Survey,
		Changed:       r.changed,
	})
	if err != nil {
		d.Close()
		return nil, err
	}
	return r, nil
}

// openDisk opens the data directory. While the disk is full, it retries for up to
// maxDiskFullWait, because a restarted process would find the same full disk.
func openDisk(cfg Config) (*disk.Disk, *disk.Saved, error) {
	for end := time.Now().Add(maxDiskFullWait); ; time.Sleep(diskFullRetryDelay) {
		d, saved, err := disk.Open(cfg.Dir, cfg.Files)
		if !disk.IsFull(err) || time.Now().After(end) {
			return d, saved, err
		}
		cfg.Log.WithError(err).Warn("waiting for room on the disk")
	}
}

// persist writes the contents of a Ready. While the disk is full, it retries. Meanwhile this
// replica does not answer its peers, so if it was the leader, another one is elected.
func (r *Replica) persist(x quorum.Ready) error {
	for n := 0; ; n++ {
		err := Persist(r.disk, x)
		var full *disk.FullError
		if !errors.As(err, &full) || r.stopping.Load() {
			if n > 0 {
				r.cfg.Log.WithField("tries", n+1).Info("the disk takes writes again")
			}
			return err
		}
		if n == 0 {
			r.cfg.Log.WithError(err).Error("waiting for room on the disk")
		}
		time.Sleep(diskFullRetryDelay)
	}
}

func (r *Replica) changed(st quorum.Status) {
	r.cfg.Log.WithFields(logrus.Fields{"state": st.Role.String(), "term": st.Term, "leader": st.LeaderAddr,
		"commit": st.Commit}).Info("role changed")
	r.cfg.Changed(st)
}

// Run runs the replica until ctx is done or the disk fails.
func (r *Replica) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	defer context.AfterFunc(ctx, func() { r.stopping.Store(true) })()
	g.Go(func() error { return r.node.Run(ctx) })
	g.Go(func() error { r.maintainMembership(ctx); return nil })
	g.Go(func() error { r.watchMajority(ctx); return nil })
	return g.Wait()
}

// Close releases the data directory.
func (r *Replica) Close() error { return r.disk.Close() }

// Node returns the node of the replicated log.
func (r *Replica) Node() *quorum.Node { return r.node }

// Disk returns the storage number of the data directory.
func (r *Replica) Disk() uint64 { return r.disk.ID() }

// Empty reports whether the data directory was empty at the start and no membership has
// been received or bootstrapped since.
func (r *Replica) Empty() bool { return r.empty && len(r.node.Status().Members) == 0 }

// Voter reports whether this replica is a voter in the latest membership that it knows.
func (r *Replica) Voter() bool {
	st := r.node.Status()
	return st.Members.IsVoter(st.ID)
}

// Hello requests the identity of the replica at an address.
func (r *Replica) Hello(ctx context.Context, addr string) (*peer.Identity, error) {
	return r.peers.Peer(addr).Hello(ctx, &peer.Empty{})
}

// Bootstrap starts a new group with the given initial voters. It must be called on one of
// them only, and the disks of all of them must be empty.
func (r *Replica) Bootstrap(ctx context.Context, members quorum.Members) error {
	var bootstrapErr error
	if err := r.node.Do(ctx, func() { bootstrapErr = r.node.Bootstrap(members) }); err != nil {
		return err
	}
	if bootstrapErr == nil {
		r.cfg.Log.WithField("replicas", len(members)).Info("bootstrapped the group")
	}
	return bootstrapErr
}

// maintainMembership applies the changes of Plan while this replica holds the leader lease.
func (r *Replica) maintainMembership(ctx context.Context) {
	tick := time.NewTicker(planInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		case <-r.replan:
		}
		for r.changeMembership(ctx) {
		}
	}
}

// view returns the input of a plan.
func (r *Replica) view() View {
	now := time.Now()
	return View{Status: r.node.Status(), Hosts: r.cfg.Hosts(), Stopping: r.departures.at(now), Replicas: r.cfg.Replicas, Now: now}
}

// changeMembership makes the change that the plan names and reports whether it is done.
func (r *Replica) changeMembership(ctx context.Context) bool {
	if _, _, ok := r.node.HoldsLease(); !ok {
		return false
	}
	c := Plan(r.view())
	if c.Action == None {
		return false
	}
	log := r.cfg.Log.WithFields(logrus.Fields{"action": string(c.Action), "addr": c.Member.Addr, "reason": c.Reason,
		"replica": uint64(c.Member.ID)})
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	if err := r.node.ChangeMembers(ctx, c.Apply); err != nil {
		log.WithError(err).Warn("membership change did not finish")
		return false
	}
	log.Info("membership changed")
	return true
}

// Service returns the service that the other replicas call.
func (r *Replica) Service() peer.Peer { return &service{r} }

type service struct{ r *Replica }

// Send delivers messages of the replicated log to the node.
func (s *service) Send(_ context.Context, b *peer.Batch) (*peer.Empty, error) {
	for _, w := range b.Messages {
		m, err := FromWire(w)
		if err != nil {
			s.r.cfg.Log.WithError(err).Warn("dropped a message that cannot be decoded")
			continue
		}
		if uint64(m.To) != s.r.disk.ID() {
			continue // for a replica that had this address before, with another data directory
		}
		s.r.peers.SetAddr(m.From, b.Addr)
		s.r.node.Deliver(m)
	}
	return &peer.Empty{}, nil
}

// Install receives one chunk of a snapshot from the leader.
func (s *service) Install(_ context.Context, p *peer.Piece) (*peer.Empty, error) {
	if p.Message == nil {
		return nil, twirp.RequiredArgumentError("message")
	}
	if p.Message.To != s.r.disk.ID() {
		return nil, twirp.NewErrorf(twirp.FailedPrecondition, "snapshot chunk is for replica %d, but this is replica %d",
			p.Message.To, s.r.disk.ID())
	}
	s.r.peers.SetAddr(quorum.NodeID(p.Message.From), p.Addr)
	if err := s.r.receiver.receive(p); err != nil {
		return nil, twirp.NewError(twirp.Aborted, err.Error())
	}
	return &peer.Empty{}, nil
}

// Hello returns the identity of this replica.
func (s *service) Hello(context.Context, *peer.Empty) (*peer.Identity, error) {
	return &peer.Identity{Id: s.r.disk.ID(), Empty: s.r.Empty(), Addr: s.r.cfg.Self}, nil
}
