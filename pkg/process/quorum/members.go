package quorum

import (
	"encoding/json"
	"slices"
)

// Member is one replica of the group.
type Member struct {
	ID NodeID `json:"id"`
	// Addr is the host:port at which the replica receives messages of its peers.
	Addr string `json:"addr"`
	// Learner is set for a replica that receives the log but does not vote.
	Learner bool `json:"learner,omitempty"`
}

// Members is the membership of the group; each ID occurs once.
type Members []Member

// DecodeMembers decodes the data of an entry of kind EntryMembers.
func DecodeMembers(data []byte) (Members, error) {
	var m Members
	err := json.Unmarshal(data, &m)
	return m, err
}

// Encode returns the data for an entry of kind EntryMembers.
func (m Members) Encode() []byte {
	data, err := json.Marshal(m)
	if err != nil {
		panic(err) // unreachable: Member has only fields that JSON can encode
	}
	return data
}

// Find returns the member with the given ID and whether there is one.
func (m Members) Find(id NodeID) (Member, bool) {
	i := slices.IndexFunc(m, func(x Member) bool { return x.ID == id })
	if i < 0 {
		return Member{}, false
	}
	return m[i], true
}

// IsVoter reports whether id is a member that may vote.
func (m Members) IsVoter(id NodeID) bool {
	x, ok := m.Find(id)
	return ok && !x.Learner
}

// Voters returns the IDs of the members that may vote.
func (m Members) Voters() []NodeID {
	var ids []NodeID
	for _, x := range m {
		if !x.Learner {
			ids = append(ids, x.ID)
		}
	}
	return ids
}

// Quorum returns the number of voters that form a majority.
func (m Members) Quorum() int { return len(m.Voters())/2 + 1 }

// With returns a copy that contains x in place of any member with the same ID.
func (m Members) With(x Member) Members {
	out := m.Without(x.ID)
	return append(out, x)
}

// Without returns a copy without the member id.
func (m Members) Without(id NodeID) Members {
	var out Members
	for _, x := range m {
		if x.ID != id {
			out = append(out, x)
		}
	}
	return out
}

// votersChanged returns the number of voters that are in exactly one of a and b.
func votersChanged(a, b Members) int {
	n := 0
	for _, id := range a.Voters() {
		if !b.IsVoter(id) {
			n++
		}
	}
	for _, id := range b.Voters() {
		if !a.IsVoter(id) {
			n++
		}
	}
	return n
}
