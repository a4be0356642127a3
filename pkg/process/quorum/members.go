package quorum

import (
	"encoding/json"
	"slices"
)

// Member is one replica of the group.
type Member struct {
	ID NodeID `json:"id"`
	// Addr is the host and port that peers send messages to.
	Addr string `json:"addr"`
	// Learner replicas receive the log and never vote.
	Learner bool `json:"learner,omitempty"`
}

// Members is the membership of the group. IDs are unique.
type Members []Member

// DecodeMembers reads the data of an EntryMembers.
func DecodeMembers(data []byte) (Members, error) {
	var m Members
	err := json.Unmarshal(data, &m)
	return m, err
}

// Encode returns the data of an EntryMembers.
func (m Members) Encode() []byte {
	data, err := json.Marshal(m)
	if err != nil {
		panic(err) // a slice of plain structs always encodes
	}
	return data
}

// Find returns the member with the given ID.
func (m Members) Find(id NodeID) (Member, bool) {
	i := slices.IndexFunc(m, func(x Member) bool { return x.ID == id })
	if i < 0 {
		return Member{}, false
	}
	return m[i], true
}

// Voter reports whether id may vote.
func (m Members) Voter(id NodeID) bool {
	x, ok := m.Find(id)
	return ok && !x.Learner
}

// Voters returns the IDs that may vote.
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

// With returns a copy in which x replaces or joins the members.
func (m Members) With(x Member) Members {
	out := m.Without(x.ID)
	return append(out, x)
}

// Without returns a copy that lacks id.
func (m Members) Without(id NodeID) Members {
	var out Members
	for _, x := range m {
		if x.ID != id {
			out = append(out, x)
		}
	}
	return out
}

// votersChanged counts the voters that stand in only one of the two sets.
func votersChanged(a, b Members) int {
	n := 0
	for _, id := range a.Voters() {
		if !b.Voter(id) {
			n++
		}
	}
	for _, id := range b.Voters() {
		if !a.Voter(id) {
			n++
		}
	}
	return n
}
