package replica

import (
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"

	"github.com/plantainbank/plantainbank/pkg/process/disk"
	"github.com/plantainbank/plantainbank/pkg/process/quorum"
	"github.com/plantainbank/plantainbank/service/peer"
)

// entryHeaderBytes is the size of an entry's term and kind on disk.
const entryHeaderBytes = 9

// EncodeEntry returns the encoding of an entry on disk: term, kind, data.
func EncodeEntry(e quorum.Entry) []byte {
	p := make([]byte, entryHeaderBytes, entryHeaderBytes+len(e.Data))
	binary.LittleEndian.PutUint64(p, e.Term)
	p[8] = byte(e.Kind)
	return append(p, e.Data...)
}

// DecodeEntry decodes an entry encoded by EncodeEntry.
func DecodeEntry(index uint64, p []byte) (quorum.Entry, error) {
	if len(p) < entryHeaderBytes {
		return quorum.Entry{}, fmt.Errorf("log entry %d is too short: %d bytes, minimum %d", index, len(p), entryHeaderBytes)
	}
	return quorum.Entry{Index: index, Term: binary.LittleEndian.Uint64(p), Kind: quorum.EntryKind(p[8]), Data: p[entryHeaderBytes:]}, nil
}

// ToWire encodes a message for the peer service.
func ToWire(m quorum.Message) *peer.Message {
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

// FromWire decodes a message from the peer service.
func FromWire(w *peer.Message) (quorum.Message, error) {
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
	if m.Kind == quorum.MsgSnapshot && m.Snapshot == nil {
		return m, errors.New("message of the kind that carries a snapshot has none")
	}
	return m, nil
}

// savedHardState is the JSON form of a quorum.HardState on disk.
type savedHardState struct {
	Term uint64 `json:"term"`
	Vote uint64 `json:"vote"`
	// Commit is missing in data directories of the first release.
	Commit uint64 `json:"commit,omitempty"`
}

// DecodeSaved decodes the content of a data directory.
func DecodeSaved(saved *disk.Saved) (quorum.Persisted, error) {
	var p quorum.Persisted
	if len(saved.Hard) > 0 {
		var h savedHardState
		if err := json.Unmarshal(saved.Hard, &h); err != nil {
			return p, err
		}
		p.Hard = quorum.HardState{Term: h.Term, Vote: quorum.NodeID(h.Vote), Commit: h.Commit}
	}
	if saved.Snapshot != nil {
		snap, err := loadSnapshotMetadata(saved.Snapshot)
		if err != nil {
			return p, err
		}
		p.Snapshot = snap
	}
	for i, data := range saved.Entries {
		e, err := DecodeEntry(saved.First+uint64(i), data)
		if err != nil {
			return p, err
		}
		p.Entries = append(p.Entries, e)
	}
	return p, nil
}

// Persist writes the contents of a Ready and returns after they are synced to disk.
func Persist(d *disk.Disk, r quorum.Ready) error {
	if r.Snapshot != nil {
		if err := installSnapshot(d, r.Snapshot); err != nil {
			return err
		}
	}
	var b disk.Batch
	if r.Hard != nil {
		data, err := json.Marshal(savedHardState{r.Hard.Term, uint64(r.Hard.Vote), r.Hard.Commit})
		if err != nil {
			return err
		}
		b.Hard = data
	}
	for _, e := range r.Entries {
		b.Entries = append(b.Entries, EncodeEntry(e))
	}
	if len(r.Entries) > 0 {
		b.First = r.Entries[0].Index
	}
	return d.Append(b)
}
