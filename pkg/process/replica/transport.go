package replica

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/plantainbank/plantainbank/pkg/process/quorum"
	"github.com/plantainbank/plantainbank/service/peer"
)

// Limits and timeouts of the transport between replicas.
const (
	// queueSize is the maximum number of messages queued for one peer. Further messages are
	// dropped; the protocol tolerates lost messages.
	queueSize = 1024
	// maxCallBytes is the size of the entries in a call from which on no further messages are
	// added to it.
	maxCallBytes = 512 << 10
	// sendFraction is the fraction of the election timeout that bounds a call to a peer, so
	// that a connection that no longer answers is closed in time for the next heartbeat to
	// use a new one.
	sendFraction = 0.6
	// snapshotTimeout bounds a call that carries a complete snapshot.
	snapshotTimeout = 5 * time.Second
)

// Transport sends messages to the other replicas, with one goroutine per peer.
type Transport struct {
	client *http.Client
	scheme string
	// self is the address to which the peers send their answers.
	self string
	// timeout bounds a call without a snapshot.
	timeout time.Duration
	mu      sync.Mutex
	queues  map[string]chan quorum.Message
	// addrs contains the address stated in each replica's latest message. It is needed
	// because a replica that joins answers the leader before it knows any member.
	addrs map[quorum.NodeID]string
}

// NewTransport returns a transport for the replica at the address self of a group with the given
// election timeout.
func NewTransport(client *http.Client, scheme, self string, election time.Duration) *Transport {
	return &Transport{client: client, scheme: scheme, self: self, timeout: time.Duration(sendFraction * float64(election)),
		queues: map[string]chan quorum.Message{}, addrs: map[quorum.NodeID]string{}}
}

// Peer returns a client of the replica at an address.
func (t *Transport) Peer(addr string) peer.Peer {
	return peer.NewPeerProtobufClient(t.scheme+addr, t.client)
}

// Send queues messages for the addresses of their recipients: that in members, or else that
// set with SetAddr. Messages to a replica without an address are dropped.
func (t *Transport) Send(members quorum.Members, messages []quorum.Message) {
	for _, m := range messages {
		if x, ok := members.Find(m.To); ok {
			t.enqueue(x.Addr, m)
			continue
		}
		if addr := t.addr(m.To); addr != "" {
			t.enqueue(addr, m)
		}
	}
}

// enqueue queues a message for its peer, or drops it if the queue is full.
func (t *Transport) enqueue(addr string, m quorum.Message) {
	t.mu.Lock()
	defer t.mu.Unlock()
	c, ok := t.queues[addr]
	if !ok {
		c = make(chan quorum.Message, queueSize)
		t.queues[addr] = c
		go t.sendQueued(t.Peer(addr), c)
	}
	select {
	case c <- m:
	default:
	}
}

// SetAddr records the address of a replica, as stated in its latest message.
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

// sendQueued sends the queued messages in batches. It runs until the process ends.
func (t *Transport) sendQueued(p peer.Peer, c chan quorum.Message) {
	for m := range c {
		b := &peer.Batch{Addr: t.self, Messages: []*peer.Message{ToWire(m)}}
		timeout := t.timeout
		if m.Snapshot != nil {
			timeout = snapshotTimeout
		}
		for size := dataBytes(m); len(c) > 0 && m.Snapshot == nil && size < maxCallBytes; size += dataBytes(m) {
			m = <-c
			b.Messages = append(b.Messages, ToWire(m))
			if m.Snapshot != nil {
				timeout = snapshotTimeout
			}
		}
		ctx, cancel := context.WithTimeout(context.Background(), timeout)
		_, _ = p.Send(ctx, b) // the protocol tolerates lost messages
		cancel()
	}
}

// dataBytes returns the size of the entries of a message.
func dataBytes(m quorum.Message) int {
	n := 0
	for _, e := range m.Entries {
		n += len(e.Data)
	}
	return n
}
