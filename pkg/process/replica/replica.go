package replica

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/twitchtv/twirp"
	"golang.org/x/sync/errgroup"

	"github.com/plantainbank/plantainbank/pkg/process/clock"
	"github.com/plantainbank/plantainbank/pkg/process/disk"
	"github.com/plantainbank/plantainbank/pkg/process/quorum"
	"github.com/plantainbank/plantainbank/service/peer"
)

// Periods and sizes of a replica.
const (
	// planPeriod is how often the leader looks at the membership.
	planPeriod = 250 * time.Millisecond
	// changeTimeout bounds one change of the membership.
	changeTimeout = 2 * time.Second
	// fullPause is the time between two tries to write to a full disk.
	fullPause = 100 * time.Millisecond
	// fullLongest is how long a process that starts waits for room.
	fullLongest = 8 * time.Second
	// snapshotEvery bounds the entries that a restart reads.
	snapshotEvery = 20000
	// snapshotBytes bounds the log on the disk and in memory.
	snapshotBytes = 12 << 20
)

// Config holds what a Replica needs. Function fields are its seams.
type Config struct {
	// Dir is the data folder.
	Dir string
	// Self is the address that takes messages of peers.
	Self string
	// Replicas is the number of voters that the group should have.
	Replicas int
	Files    disk.Files
	Timing   quorum.Timing
	Client   *http.Client
	Log      *logrus.Entry
	// Apply, Save and Restore are the state machine.
	Apply   func(index uint64, data []byte) any
	Save    func() []byte
	Restore func(r io.Reader) error
	// Freeze returns what writes the state as it is now, for another goroutine.
	// The state then moves bit by bit; nil means that it is small.
	Freeze func() (write func(io.Writer) error)
	// Changed runs on the replica's goroutine when its role changes.
	Changed func(quorum.Status)
	// Hosts lists what this process knows of hosts that can hold a replica.
	Hosts func() []Host
}

// Replica is one member of a group, or a process that waits to become one.
type Replica struct {
	cfg   Config
	disk  *disk.Disk
	node  *quorum.Node
	peers *Transport
	// state gathers the state that a leader sends.
	state *receiver
	empty bool
	// stopping is true once the process is to end.
	stopping atomic.Bool
}

// New opens the data folder. Close releases it.
func New(cfg Config) (*Replica, error) {
	d, saved, err := openDisk(cfg)
	if err != nil {
		return nil, err
	}
	r := &Replica{cfg: cfg, disk: d, peers: NewTransport(cfg.Client, "http://", cfg.Self)}
	persisted, err := DecodeSaved(saved)
	if err != nil {
		d.Close()
		return nil, err
	}
	if saved.TornBytes > 0 {
		cfg.Log.WithField("bytes", saved.TornBytes).Warn("removed an unfinished write from the end of the log")
	}
	r.empty = persisted.Hard.Term == 0 && len(persisted.Entries) == 0 && persisted.Snapshot.Index == 0
	var sendState func(quorum.Message, func(io.Writer) error)
	if cfg.Freeze != nil {
		sendState = r.sendState
	}
	r.state = &receiver{disk: d, deliver: func(m quorum.Message) { r.node.Deliver(m) }}
	r.node, err = quorum.NewNode(quorum.Config{
		ID: quorum.NodeID(d.ID()), Timing: cfg.Timing, Seed: d.ID(), Persisted: persisted,
		Persist:       r.persist,
		Send:          func(m []quorum.Message) { r.peers.Send(r.node.Status().Members, m) },
		Apply:         cfg.Apply,
		Save:          cfg.Save,
		Restore:       cfg.Restore,
		SaveSnapshot:  func(s quorum.Snapshot) error { return SaveSnapshot(d, s) },
		Freeze:        cfg.Freeze,
		SendSnapshot:  sendState,
		WriteSnapshot: func(s quorum.Snapshot, write func(io.Writer) error) error { return WriteSnapshot(d, s, write) },
		Trim:          d.Trim,
		SnapshotFailed: func(err error) {
			cfg.Log.WithError(err).Warn("snapshot not stored, trying again later")
		},
		SnapshotEvery: snapshotEvery,
		SnapshotBytes: snapshotBytes,
		Suspended:     clock.Suspended,
		Changed:       r.changed,
	})
	if err != nil {
		d.Close()
		return nil, err
	}
	return r, nil
}

// openDisk opens the data folder, and waits for a while if its disk is full: a
// process that ended would find the same.
func openDisk(cfg Config) (*disk.Disk, *disk.Saved, error) {
	for end := time.Now().Add(fullLongest); ; time.Sleep(fullPause) {
		d, saved, err := disk.Open(cfg.Dir, cfg.Files)
		if !errors.Is(err, syscall.ENOSPC) || time.Now().After(end) {
			return d, saved, err
		}
		cfg.Log.WithError(err).Warn("waiting for room on the disk")
	}
}

// persist writes what a Ready asks for. While the disk is full it tries again:
// to the others this replica is silent meanwhile, and another one leads.
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
		time.Sleep(fullPause)
	}
}

func (r *Replica) changed(st quorum.Status) {
	r.cfg.Log.WithFields(logrus.Fields{"state": st.Role.String(), "term": st.Term, "leader": st.LeaderAddr,
		"commit": st.Commit}).Info("role changed")
	r.cfg.Changed(st)
}

// Run drives the replica until ctx ends or the disk fails.
func (r *Replica) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	defer context.AfterFunc(ctx, func() { r.stopping.Store(true) })()
	g.Go(func() error { return r.node.Run(ctx) })
	g.Go(func() error { r.maintain(ctx); return nil })
	return g.Wait()
}

// Close releases the data folder.
func (r *Replica) Close() error { return r.disk.Close() }

// Node returns the replicated log.
func (r *Replica) Node() *quorum.Node { return r.node }

// Disk returns the storage number of the data folder.
func (r *Replica) Disk() uint64 { return r.disk.ID() }

// Empty reports whether this process has never held a replica.
func (r *Replica) Empty() bool { return r.empty && len(r.node.Status().Members) == 0 }

// Voter reports whether this process votes, as far as it knows.
func (r *Replica) Voter() bool {
	st := r.node.Status()
	return st.Members.IsVoter(st.ID)
}

// Hello asks who answers at an address.
func (r *Replica) Hello(ctx context.Context, addr string) (*peer.Identity, error) {
	return r.peers.Peer(addr).Hello(ctx, &peer.Empty{})
}

// Bootstrap makes this process the first of a new group. It must be called for one
// process of the group only, whose disk is empty like those of all founders.
func (r *Replica) Bootstrap(ctx context.Context, members quorum.Members) error {
	var inner error
	if err := r.node.Do(ctx, func() { inner = r.node.Bootstrap(members) }); err != nil {
		return err
	}
	if inner == nil {
		r.cfg.Log.WithField("replicas", len(members)).Info("founded the group")
	}
	return inner
}

// maintain carries out the plan while this process leads.
func (r *Replica) maintain(ctx context.Context) {
	tick := time.NewTicker(planPeriod)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		if _, _, ok := r.node.HoldsLease(); ok {
			r.step(ctx)
		}
	}
}

func (r *Replica) step(ctx context.Context) {
	c := Plan(r.node.Status(), r.cfg.Hosts(), r.cfg.Replicas, time.Now())
	if c.Action == None {
		return
	}
	log := r.cfg.Log.WithFields(logrus.Fields{"action": string(c.Action), "addr": c.Member.Addr, "reason": c.Reason,
		"replica": uint64(c.Member.ID)})
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	if err := r.node.ChangeMembers(ctx, c.Apply); err != nil {
		log.WithError(err).Warn("membership change did not finish")
		return
	}
	log.Info("membership changed")
}

// Service answers the other replicas.
func (r *Replica) Service() peer.Peer { return &service{r} }

type service struct{ r *Replica }

// Send takes in messages of the replicated log.
func (s *service) Send(_ context.Context, b *peer.Batch) (*peer.Empty, error) {
	for _, w := range b.Messages {
		m, err := FromWire(w)
		if err != nil {
			s.r.cfg.Log.WithError(err).Warn("dropped a message that can not be read")
			continue
		}
		if uint64(m.To) != s.r.disk.ID() {
			continue // for the data folder that was at this address before
		}
		s.r.peers.SetAddr(m.From, b.Addr)
		s.r.node.Deliver(m)
	}
	return &peer.Empty{}, nil
}

// Install takes in a piece of the leader's state.
func (s *service) Install(_ context.Context, p *peer.Piece) (*peer.Empty, error) {
	if p.Message == nil {
		return nil, twirp.RequiredArgumentError("message")
	}
	if p.Message.To != s.r.disk.ID() {
		return nil, twirp.NewError(twirp.FailedPrecondition, "for the data folder that was at this address before")
	}
	s.r.peers.SetAddr(quorum.NodeID(p.Message.From), p.Addr)
	if err := s.r.state.take(p); err != nil {
		return nil, twirp.NewError(twirp.Aborted, err.Error())
	}
	return &peer.Empty{}, nil
}

// Hello tells who answers at this address.
func (s *service) Hello(context.Context, *peer.Empty) (*peer.Identity, error) {
	return &peer.Identity{Id: s.r.disk.ID(), Empty: s.r.Empty(), Addr: s.r.cfg.Self}, nil
}
