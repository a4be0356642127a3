package control

import (
	"context"
	"time"

	"github.com/twitchtv/twirp"

	"github.com/plantainbank/plantainbank/pkg/process/quorum"
	"github.com/plantainbank/plantainbank/pkg/process/replica"
	"github.com/plantainbank/plantainbank/service/peer"
)

// membershipChangeTimeout is the timeout of a membership change.
const membershipChangeTimeout = 2 * time.Second

// send sends messages to the addresses of the current members.
func (s *Server) send(messages []quorum.Message) {
	s.peers.Send(s.node.Status().Members, messages)
}

// peerService handles the calls of the other control hosts.
type peerService struct{ s *Server }

func (s *Server) peerService() peer.Peer { return &peerService{s} }

// Send delivers messages of the replicated log to the node.
func (p *peerService) Send(_ context.Context, b *peer.Batch) (*peer.Empty, error) {
	for _, w := range b.Messages {
		m, err := replica.FromWire(w)
		if err != nil || m.To != p.s.node.Status().ID {
			continue
		}
		p.s.peers.SetAddr(m.From, b.Addr)
		p.s.node.Deliver(m)
	}
	return &peer.Empty{}, nil
}

// Install always returns an error. Snapshots are not sent in chunks, as the ledger of a
// deployment fits in one message.
func (p *peerService) Install(context.Context, *peer.Piece) (*peer.Empty, error) {
	return nil, twirp.NewError(twirp.Unimplemented, "control replicas send a snapshot as one message, not in chunks")
}

// Hello returns the identity of the replica at this address.
func (p *peerService) Hello(context.Context, *peer.Empty) (*peer.Identity, error) {
	st := p.s.node.Status()
	return &peer.Identity{Id: uint64(st.ID), Empty: len(st.Members) == 0 && p.s.startedEmpty, Addr: p.s.cfg.Listen}, nil
}

// Leave is answered without delay: operators choose the replicas of this group, none takes over
// by itself.
func (p *peerService) Leave(context.Context, *peer.Identity) (*peer.Handover, error) {
	return &peer.Handover{}, nil
}
