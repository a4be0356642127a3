package quorum

import (
	"bytes"
	"fmt"
	"io"
)

// NodeID identifies a replica. It is the storage number of its data directory: a random
// number generated when the directory is created. A directory that was emptied gets a new
// one. Zero means "no replica".
type NodeID uint64

// EntryKind determines how an entry is applied.
type EntryKind uint8

// Kinds of log entries.
const (
	// EntryCommand contains a command for the state machine.
	EntryCommand EntryKind = iota
	// EntryNoop is the first entry of a new leader's term. Entries of earlier terms become
	// committed with it.
	EntryNoop
	// EntryMembers contains encoded Members, which take effect as soon as the entry is
	// appended, before it is committed.
	EntryMembers
)

// Entry is one entry of the replicated log.
type Entry struct {
	// Index is the position in the log; it starts at 1 and has no gaps.
	Index uint64
	// Term is the term of the leader that appended the entry; it never decreases along
	// the log.
	Term uint64
	Kind EntryKind
	Data []byte
}

// HardState is the state that a replica must persist before it sends messages that depend
// on it.
type HardState struct {
	// Term is the latest term that the replica has seen; it never decreases.
	Term uint64
	// Vote is the candidate that this replica voted for in Term, or zero.
	Vote NodeID
	// Commit is the commit index that was known when the state was written. After a
	// restart, a replica applies the log up to this index before it knows a leader.
	Commit uint64
}

// Snapshot is the state after all entries up to Index, which it replaces in the log. Term
// is the term of the entry at Index, and Members the membership there.
type Snapshot struct {
	Index, Term uint64
	Members     Members
	// Data is the encoded state machine. It is empty if Staged is set, and in values that
	// only describe a snapshot.
	Data []byte
	// Staged refers to a local file that contains the state, in place of Data.
	Staged *StagedSnapshot `json:"-"`
}

// StagedSnapshot is a snapshot whose state is in a local file. The embedder that wrote
// the file supplies the functions; the snapshot that a replica loads at the start has
// only Open.
type StagedSnapshot struct {
	// Open opens the state for reading.
	Open func() (io.ReadCloser, error)
	// Install makes the file the replica's stored snapshot and returns once the change is
	// synced to disk.
	Install func() error
	// Discard deletes the file of a snapshot that the replica does not need.
	Discard func()
}

// Reader opens the state for reading. It returns a nil reader if the snapshot has no state.
func (s *Snapshot) Reader() (io.ReadCloser, error) {
	switch {
	case s.Staged != nil:
		return s.Staged.Open()
	case len(s.Data) > 0:
		return io.NopCloser(bytes.NewReader(s.Data)), nil
	}
	return nil, nil
}

// MessageKind is the type of a message between replicas.
type MessageKind uint8

// Kinds of messages.
const (
	MsgPreVote MessageKind = iota + 1
	MsgPreVoteReply
	MsgVote
	MsgVoteReply
	MsgAppend
	MsgAppendReply
	MsgSnapshot
	// MsgSurvey asks a voter where its log ends. It has no term and changes nothing at its recipient.
	MsgSurvey
	MsgSurveyReply
)

// Message is sent from one replica to another. The transport may lose, delay, duplicate
// and reorder messages.
type Message struct {
	Kind     MessageKind
	From, To NodeID
	Term     uint64
	// LogIndex and LogTerm are the index and term of a log position: the one before
	// Entries in MsgAppend, the last one of the candidate's log in MsgPreVote and MsgVote, the
	// last one of the sender's log in MsgSurveyReply.
	// MsgAppendReply has only LogIndex: the highest index that matches the leader's log or,
	// if Reject is set, a hint at which index the leader should retry.
	LogIndex, LogTerm uint64
	Entries           []Entry
	Commit            uint64
	Reject            bool
	// Round is the number of the leader's heartbeat round, or of a survey; replies return it.
	Round    uint64
	Snapshot *Snapshot
}

// NotLeaderError reports that this replica refused a request because it is not the leader.
type NotLeaderError struct {
	// Leader is the ID of the current leader, or zero if unknown.
	Leader NodeID
	// Addr is the leader's address, or empty if unknown.
	Addr string
}

func (e *NotLeaderError) Error() string {
	return fmt.Sprintf("not the leader, leader is %x at %q", uint64(e.Leader), e.Addr)
}

// UnknownOutcomeError reports that a proposal may or may not have been committed.
type UnknownOutcomeError struct{ Reason string }

func (e *UnknownOutcomeError) Error() string { return "outcome unknown: " + e.Reason }

// MembershipError reports a membership change that the leader refused.
type MembershipError struct{ Reason string }

func (e *MembershipError) Error() string { return "membership change refused: " + e.Reason }
