package quorum

import (
	"bytes"
	"fmt"
	"io"
)

// NodeID is the storage number of a replica: random, drawn once for each data
// folder. An emptied data folder gets a new one. Zero means "no replica".
type NodeID uint64

// EntryKind says how an entry is applied.
type EntryKind uint8

// Kinds of entry.
const (
	// EntryCommand carries bytes for the state machine.
	EntryCommand EntryKind = iota
	// EntryNoop is appended by a new leader to commit earlier terms.
	EntryNoop
	// EntryMembers carries an encoded Members and takes effect once appended.
	EntryMembers
)

// Entry is one position of the replicated log.
type Entry struct {
	// Index starts at 1 and has no gaps.
	Index uint64
	// Term never decreases along the log.
	Term uint64
	Kind EntryKind
	Data []byte
}

// HardState is what a replica must persist before it answers.
type HardState struct {
	// Term never decreases.
	Term uint64
	// Vote is the candidate that this replica voted for in Term, or zero.
	Vote NodeID
	// Commit is what was known to be committed when this was written: a replica
	// that starts applies as much before it hears of a leader.
	Commit uint64
}

// Snapshot replaces all entries up to Index.
type Snapshot struct {
	Index, Term uint64
	Members     Members
	// Data is the state. It is empty in a description, and where Staged is set.
	Data []byte
	// Staged is the state in a file of this replica, in place of Data.
	Staged *Staged `json:"-"`
}

// Staged is a state that lies in a file of this replica. Function fields are its
// seams.
type Staged struct {
	// Open reads the state.
	Open func() (io.ReadCloser, error)
	// Adopt makes the file the replica's snapshot and returns once that is synced.
	Adopt func() error
	// Drop gives the file up: the replica does not need the state.
	Drop func()
}

// Reader reads the state, nil if there is none.
func (s *Snapshot) Reader() (io.ReadCloser, error) {
	switch {
	case s.Staged != nil:
		return s.Staged.Open()
	case len(s.Data) > 0:
		return io.NopCloser(bytes.NewReader(s.Data)), nil
	}
	return nil, nil
}

// MessageKind names a message between replicas.
type MessageKind uint8

// Kinds of message.
const (
	MsgPreVote MessageKind = iota + 1
	MsgPreVoteReply
	MsgVote
	MsgVoteReply
	MsgAppend
	MsgAppendReply
	MsgSnapshot
)

// Message is sent from one replica to another. Messages may be lost, delayed,
// repeated and reordered.
type Message struct {
	Kind     MessageKind
	From, To NodeID
	Term     uint64
	// LogIndex and LogTerm are the position before Entries in MsgAppend, the
	// last position in votes, and the matched position in MsgAppendReply.
	LogIndex, LogTerm uint64
	Entries           []Entry
	Commit            uint64
	Reject            bool
	// Round is the leader's heartbeat round; a reply echoes it.
	Round    uint64
	Snapshot *Snapshot
}

// NotLeaderError reports that a request needs the leader.
type NotLeaderError struct {
	// Leader is zero while no leader is known.
	Leader NodeID
	// Addr is the leader's address, empty while unknown.
	Addr string
}

func (e *NotLeaderError) Error() string {
	return fmt.Sprintf("not the leader, leader is %x at %q", uint64(e.Leader), e.Addr)
}

// UnknownOutcomeError reports that a proposal may or may not be committed.
type UnknownOutcomeError struct{ Reason string }

func (e *UnknownOutcomeError) Error() string { return "outcome unknown: " + e.Reason }

// MembershipError reports a membership change that was refused.
type MembershipError struct{ Reason string }

func (e *MembershipError) Error() string { return "membership change refused: " + e.Reason }
