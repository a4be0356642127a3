package control

import (
	"context"
	"encoding/binary"
	"errors"
	"net/http"
	"sync"
	"time"

	"github.com/plantainbank/plantainbank/pkg/process/quorum"
	"github.com/plantainbank/plantainbank/pkg/process/settings"
	"github.com/plantainbank/plantainbank/service/peer"
)

// Sizes and periods of the transport between control hosts.
const (
	outboxSize  = 1024
	sendTimeout = 2 * time.Second
	entryHeader = 9
)

// encodeEntry returns an entry as it stands on disk: term, kind, data.
func encodeEntry(e quorum.Entry) []byte {
	p := make([]byte, entryHeader, entryHeader+len(e.Data))
	binary.LittleEndian.PutUint64(p, e.Term)
	p[8] = byte(e.Kind)
	return append(p, e.Data...)
}

func decodeEntry(index uint64, p []byte) (quorum.Entry, error) {
	if len(p) < entryHeader {
		return quorum.Entry{}, errors.New("log entry is too short")
	}
	return quorum.Entry{Index: index, Term: binary.LittleEndian.Uint64(p), Kind: quorum.EntryKind(p[8]), Data: p[entryHeader:]}, nil
}

// transport sends messages to the other control hosts, one goroutine a peer.
type transport struct {
	client *http.Client
	scheme string
	// self is the address that answers are sent to.
	self   string
	mu     sync.Mutex
	outbox map[string]chan quorum.Message
	// addrs holds where each replica was last heard from. A replica that
	// joins answers the leader before it knows any member.
	addrs map[quorum.NodeID]string
}

func newTransport(cfg settings.Control) (*transport, error) {
	client, scheme, err := cfg.TLS.Client()
	if err != nil {
		return nil, err
	}
	return &transport{client: client, scheme: scheme, self: cfg.Listen,
		outbox: map[string]chan quorum.Message{}, addrs: map[quorum.NodeID]string{}}, nil
}

func (t *transport) peer(addr string) peer.Peer {
	return peer.NewPeerProtobufClient(t.scheme+addr, t.client)
}

// send queues a message; a full queue drops it.
func (t *transport) send(addr string, m quorum.Message) {
	t.mu.Lock()
	defer t.mu.Unlock()
	c, ok := t.outbox[addr]
	if !ok {
		c = make(chan quorum.Message, outboxSize)
		t.outbox[addr] = c
		go t.drain(t.peer(addr), c)
	}
	select {
	case c <- m:
	default:
	}
}

func (t *transport) learn(id quorum.NodeID, addr string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.addrs[id] = addr
}

func (t *transport) addr(id quorum.NodeID) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.addrs[id]
}

// drain sends what is queued in batches, for the life of the process.
func (t *transport) drain(p peer.Peer, c chan quorum.Message) {
	for m := range c {
		b := &peer.Batch{Addr: t.self, Messages: []*peer.Message{toWire(m)}}
		for len(c) > 0 {
			b.Messages = append(b.Messages, toWire(<-c))
		}
		ctx, cancel := context.WithTimeout(context.Background(), sendTimeout)
		_, _ = p.Send(ctx, b) // a lost batch is repaired by the protocol
		cancel()
	}
}

// send routes messages to the addresses of the current members.
func (s *Server) send(messages []quorum.Message) {
	members := s.node.Status().Members
	for _, m := range messages {
		if x, ok := members.Find(m.To); ok {
			s.peers.send(x.Addr, m)
			continue
		}
		if addr := s.peers.addr(m.To); addr != "" {
			s.peers.send(addr, m)
		}
	}
}

func toWire(m quorum.Message) *peer.Message {
	w := &peer.Message{Kind: uint32(m.Kind), From: uint64(m.From), To: uint64(m.To), Term: m.Term,
		Logindex: m.LogIndex, Logterm: m.LogTerm, Commit: m.Commit, Reject: m.Reject, Round: m.Round}
	for _, e := range m.Entries {
		w.Entries = append(w.Entries, &peer.Entry{Index: e.Index, Term: e.Term, Kind: uint32(e.Kind), Data: e.Data})
	}
	if x := m.Snapshot; x != nil {
		w.Snapshot = &peer.Snapshot{Index: x.Index, Term: x.Term, Members: x.Members.Encode(), Data: x.Data}
	}
	return w
}

func fromWire(w *peer.Message) (quorum.Message, error) {
	m := quorum.Message{Kind: quorum.MessageKind(w.Kind), From: quorum.NodeID(w.From), To: quorum.NodeID(w.To),
		Term: w.Term, LogIndex: w.Logindex, LogTerm: w.Logterm, Commit: w.Commit, Reject: w.Reject, Round: w.Round}
	for _, e := range w.Entries {
		m.Entries = append(m.Entries, quorum.Entry{Index: e.Index, Term: e.Term, Kind: quorum.EntryKind(e.Kind), Data: e.Data})
	}
	if x := w.Snapshot; x != nil {
		members, err := quorum.DecodeMembers(x.Members)
		if err != nil {
			return m, err
		}
		m.Snapshot = &quorum.Snapshot{Index: x.Index, Term: x.Term, Members: members, Data: x.Data}
	}
	return m, nil
}

// peerService answers the other control hosts.
type peerService struct{ s *Server }

func (s *Server) peerService() peer.Peer { return &peerService{s} }

// Send takes in messages of the replicated log.
func (p *peerService) Send(_ context.Context, b *peer.Batch) (*peer.Empty, error) {
	for _, w := range b.Messages {
		m, err := fromWire(w)
		if err != nil || m.To != p.s.node.Status().ID {
			continue
		}
		p.s.peers.learn(m.From, b.Addr)
		p.s.node.Deliver(m)
	}
	return &peer.Empty{}, nil
}

// Hello tells who answers at this address.
func (p *peerService) Hello(context.Context, *peer.Empty) (*peer.Identity, error) {
	st := p.s.node.Status()
	return &peer.Identity{Id: uint64(st.ID), Empty: len(st.Members) == 0 && p.s.hello, Addr: p.s.cfg.Listen}, nil
}
