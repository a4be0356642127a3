package replica

import (
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/plantainbank/plantainbank/pkg/process/quorum"
	"github.com/plantainbank/plantainbank/service/peer"
)

// step decodes messages of a peer and lets a member with a short log process them.
func step(messages ...*peer.Message) {
	members := quorum.Members{{ID: 1, Addr: "a"}, {ID: 2, Addr: "b"}, {ID: 3, Addr: "c"}}
	now := time.Unix(1000, 0)
	core := quorum.NewCore(1, quorum.DefaultTiming(), 1, quorum.Persisted{Hard: quorum.HardState{Term: 3, Commit: 1},
		Entries: []quorum.Entry{{Index: 1, Term: 1, Kind: quorum.EntryMembers, Data: members.Encode()}, {Index: 2, Term: 3}}}, now)
	for _, w := range messages {
		now = now.Add(2 * time.Second)
		m, err := FromWire(w)
		if err != nil {
			continue
		}
		core.Step(m, now)
		core.Tick(now)
		core.Advance(core.Ready())
	}
}

// FuzzStep processes two messages of a peer. None may end the member that gets it.
func FuzzStep(f *testing.F) {
	add := func(messages ...*peer.Message) {
		var data [2][]byte
		for i, m := range messages {
			data[i], _ = proto.Marshal(m)
		}
		f.Add(data[0], data[1])
	}
	entries := []*peer.Entry{{Index: 3, Term: 4, Data: []byte("x")}}
	add(&peer.Message{Kind: uint32(quorum.MsgAppend), From: 2, To: 1, Term: 4, Logindex: 2, Logterm: 3, Entries: entries, Commit: 3, Round: 1},
		&peer.Message{Kind: uint32(quorum.MsgSnapshot), From: 2, To: 1, Term: 4, Snapshot: &peer.Snapshot{Index: 9, Term: 4, Members: []byte("[]")}})
	add(&peer.Message{Kind: uint32(quorum.MsgVote), From: 2, To: 1, Term: 5, Logindex: 9, Logterm: 5},
		&peer.Message{Kind: uint32(quorum.MsgAppendReply), From: 3, To: 1, Term: 5, Logindex: 2, Reject: true})
	f.Fuzz(func(t *testing.T, a, b []byte) {
		var first, second peer.Message
		if proto.Unmarshal(a, &first) == nil && proto.Unmarshal(b, &second) == nil {
			step(&first, &second)
		}
	})
}

// TestSnapshotMessageWithoutSnapshot sends a message of the kind that carries a snapshot without one; FuzzStep
// found it. The member that gets it must not end.
func TestSnapshotMessageWithoutSnapshot(t *testing.T) {
	defer func() {
		if x := recover(); x != nil {
			t.Errorf("panic: %v", x)
		}
	}()
	step(&peer.Message{Kind: uint32(quorum.MsgSnapshot), From: 2, To: 1, Term: 4})
}
