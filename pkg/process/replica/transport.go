package replica

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/plantainbank/plantainbank/pkg/process/quorum"
	"github.com/plantainbank/plantainbank/service/peer"
)

// Sizes and periods of the transport between replicas.
const (
	// outboxSize is the messages that may wait for one peer; more are dropped,
	// which the protocol repairs.
	outboxSize = 1024
	// sendTimeout ends a call to a peer that does not answer: below the
	// election timeout a silent connection must be given up, so that a fresh
	// one can carry the next heartbeat.
	sendTimeout = 700 * time.Millisecond
	// snapshotTimeout ends a call that carries a snapshot.
	snapshotTimeout = 5 * time.Second
)

// Transport sends messages to the other replicas, one goroutine a peer.
type Transport struct {
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

// NewTransport returns a transport for the replica at the address self.
func NewTransport(client *http.Client, scheme, self string) *Transport {
	return &Transport{client: client, scheme: scheme, self: self,
		outbox: map[string]chan quorum.Message{}, addrs: map[quorum.NodeID]string{}}
}

// Peer returns the client of the replica at an address.
func (t *Transport) Peer(addr string) peer.Peer {
	return peer.NewPeerProtobufClient(t.scheme+addr, t.client)
}

// Send routes messages to the addresses of the members.
func (t *Transport) Send(members quorum.Members, messages []quorum.Message) {
	for _, m := range messages {
		if x, ok := members.Find(m.To); ok {
			t.queue(x.Addr, m)
			continue
		}
		if addr := t.addr(m.To); addr != "" {
			t.queue(addr, m)
		}
	}
}

// queue holds a message for its peer; a full queue drops it.
func (t *Transport) queue(addr string, m quorum.Message) {
	t.mu.Lock()
	defer t.mu.Unlock()
	c, ok := t.outbox[addr]
	if !ok {
		c = make(chan quorum.Message, outboxSize)
		t.outbox[addr] = c
		go t.drain(t.Peer(addr), c)
	}
	select {
	case c <- m:
	default:
	}
}

// SetAddr remembers where a replica was heard from.
func (t *Transport) SetAddr(id quorum.NodeID, addr string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.addrs[id] = addr
}

func (t *Transport) addr(id quorum.NodeID) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.addrs[id]
}

// drain sends what is queued in batches, for the life of the process.
func (t *Transport) drain(p peer.Peer, c chan quorum.Message) {
	for m := range c {
		b := &peer.Batch{Addr: t.self, Messages: []*peer.Message{ToWire(m)}}
		timeout := sendTimeout
		if m.Snapshot != nil {
			timeout = snapshotTimeout
		}
		for len(c) > 0 && m.Snapshot == nil {
			m = <-c
			b.Messages = append(b.Messages, ToWire(m))
			if m.Snapshot != nil {
				timeout = snapshotTimeout
			}
		}
		ctx, cancel := context.WithTimeout(context.Background(), timeout)
		_, _ = p.Send(ctx, b) // a lost batch is repaired by the protocol
		cancel()
	}
}
