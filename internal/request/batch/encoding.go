package batch

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"

	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"

	"github.com/plantainbank/plantainbank/service/batchlog"
)

const (
	// snapshotMagic starts a snapshot; length-prefixed batches follow. Snapshots of the
	// first release have no magic and are lines of JSON.
	snapshotMagic = "plantainbank batches 2\n"
	// maxBatchBytes is the maximum encoded size of a batch in a snapshot.
	maxBatchBytes = 256 << 20
)

// EncodeError reports a batch or command with a string that is not valid UTF-8.
type EncodeError struct{ Err error }

func (e *EncodeError) Error() string { return fmt.Sprintf("cannot encode: %v", e.Err) }

func (e *EncodeError) Unwrap() error { return e.Err }

func encode(m proto.Message) ([]byte, error) {
	data, err := proto.Marshal(m)
	if err != nil {
		return nil, &EncodeError{err}
	}
	return data, nil
}

// Encode returns the Protobuf encoding of a batch. The error is an *EncodeError.
func (b *Batch) Encode() ([]byte, error) { return encode(b.toProto()) }

// Decode decodes the output of Encode.
func Decode(data []byte) (*Batch, error) {
	w := &batchlog.Batch{}
	if err := proto.Unmarshal(data, w); err != nil {
		return nil, fmt.Errorf("decode batch: %w", err)
	}
	return fromProto(w), nil
}

// Encode returns the Protobuf encoding of a command. The error is an *EncodeError: members of the
// group that are older refuse to decode strings that are not valid UTF-8, so such a command must not
// be proposed.
func (c *Command) Encode() ([]byte, error) {
	w := &batchlog.Command{End: c.End, Workspace: c.Workspace, Asked: c.Asked, Drop: c.Drop}
	if x := c.Checkpoint; x != nil {
		w.Save = &batchlog.Save{Batch: x.Batch, Item: x.Item, From: int64(x.Offset), Part: x.Partial.toProto()}
	}
	if c.Accept != nil {
		w.Accept = c.Accept.toProto()
	}
	if c.AddResults != nil {
		w.List = &batchlog.List{Batch: c.AddResults.Batch, Results: resultsToProto(c.AddResults.Results)}
	}
	return encode(w)
}

// decodeCommand decodes the output of Command.Encode. Commands of the first release are
// JSON objects; no encoded message starts with a brace.
func decodeCommand(data []byte) (*Command, error) {
	c := &Command{}
	if len(data) > 0 && data[0] == '{' {
		if err := json.Unmarshal(data, c); err != nil {
			return nil, fmt.Errorf("decode batch command: %w", err)
		}
		return c, nil
	}
	w := &batchlog.Command{}
	if err := proto.Unmarshal(data, w); err != nil {
		return nil, fmt.Errorf("decode batch command: %w", err)
	}
	c.End, c.Workspace, c.Asked, c.Drop = w.End, w.Workspace, w.Asked, w.Drop
	if w.Accept != nil {
		c.Accept = fromProto(w.Accept)
	}
	if x := w.Save; x != nil {
		c.Checkpoint = &Checkpoint{Batch: x.Batch, Item: x.Item, Offset: int(x.From), Partial: partialFromProto(x.Part)}
	}
	if w.List != nil {
		c.AddResults = &AddResults{Batch: w.List.Batch, Results: resultsFromProto(w.List.Results)}
	}
	return c, nil
}

func (b *Batch) toProto() *batchlog.Batch {
	w := &batchlog.Batch{Id: b.ID, Route: b.Route, Host: b.Host, Prefix: b.Prefix, Workspace: b.Workspace, Submitted: b.Submitted, Due: b.Due,
		Expiry: b.Expiry, Step: int64(b.Step), Model: b.Model, Minversion: b.MinVersion, Target: int64(b.TargetGroups), Ended: b.Ended,
		Results: resultsToProto(b.Results)}
	for _, x := range b.Items {
		w.Items = append(w.Items, &batchlog.Item{Id: x.ID, Path: x.Path, Headers: x.Headers, Body: x.Body,
			Tokens: int64(x.Tokens), Group: x.Group, Print: x.Fingerprint, Part: x.Partial.toProto(),
			Length: int64(x.LengthHint), Scorer: x.Scorer.toProto(), Scorerprint: x.ScorerFingerprint})
	}
	return w
}

func fromProto(w *batchlog.Batch) *Batch {
	b := &Batch{ID: w.Id, Route: w.Route, Host: w.Host, Prefix: w.Prefix, Workspace: w.Workspace, Submitted: w.Submitted, Due: w.Due,
		Expiry: w.Expiry, Step: int(w.Step), Model: w.Model, MinVersion: w.Minversion, TargetGroups: int(w.Target), Ended: w.Ended,
		Results: resultsFromProto(w.Results), Items: make([]Item, 0, len(w.Items))}
	for _, x := range w.Items {
		b.Items = append(b.Items, Item{ID: x.Id, Path: x.Path, Headers: x.Headers, Body: x.Body, Tokens: int(x.Tokens), Group: x.Group,
			Fingerprint: x.Print, Partial: partialFromProto(x.Part), LengthHint: int(x.Length),
			Scorer: scorerFromProto(x.Scorer), ScorerFingerprint: x.Scorerprint})
	}
	return b
}

func (x *Scorer) toProto() *batchlog.Scorer {
	if x == nil {
		return nil
	}
	return &batchlog.Scorer{Id: x.ID, Host: x.Host, Path: x.Path, Body: x.Body}
}

func scorerFromProto(w *batchlog.Scorer) *Scorer {
	if w == nil {
		return nil
	}
	return &Scorer{ID: w.Id, Host: w.Host, Path: w.Path, Body: w.Body}
}

func resultsToProto(results []Result) []*batchlog.Result {
	var out []*batchlog.Result
	for _, r := range results {
		out = append(out, &batchlog.Result{Item: r.Item, State: string(r.State), Text: r.Text, Packed: r.Compressed, Versions: r.Versions,
			Score: r.Score, Stored: r.Stored})
	}
	return out
}

func resultsFromProto(results []*batchlog.Result) []Result {
	var out []Result
	for _, r := range results {
		out = append(out, Result{Item: r.Item, State: State(r.State), Text: r.Text, Compressed: r.Packed, Versions: r.Versions,
			Score: r.Score, Stored: r.Stored})
	}
	return out
}

// Restore reads a snapshot that Freeze or Save wrote. It decodes one batch at a time, to
// bound the memory needed besides the store itself.
func Restore(r io.Reader) (*Store, error) {
	in := bufio.NewReader(r)
	s := NewStore()
	magic, err := in.Peek(len(snapshotMagic))
	if err != nil && !errors.Is(err, io.EOF) {
		return nil, fmt.Errorf("read batch snapshot: %w", err)
	}
	if string(magic) != snapshotMagic {
		return s, s.restoreLegacy(in)
	}
	if _, err := in.Discard(len(snapshotMagic)); err != nil {
		return nil, fmt.Errorf("read batch snapshot: %w", err)
	}
	options := protodelim.UnmarshalOptions{MaxSize: maxBatchBytes}
	for {
		w := &batchlog.Batch{}
		if err := options.UnmarshalFrom(in, w); errors.Is(err, io.EOF) {
			return s, nil
		} else if err != nil {
			return nil, fmt.Errorf("read batch snapshot: %w", err)
		}
		if w.Early {
			s.earlyEnds[w.Id] = earlyEnd{workspace: w.Workspace, asked: w.Submitted}
			continue
		}
		s.put(fromProto(w))
	}
}

// restoreLegacy reads a snapshot of the first release.
func (s *Store) restoreLegacy(in *bufio.Reader) error {
	for {
		line, err := in.ReadBytes('\n')
		if errors.Is(err, io.EOF) && len(bytes.TrimSpace(line)) == 0 {
			return nil
		}
		if err != nil && !errors.Is(err, io.EOF) {
			return fmt.Errorf("read batch snapshot: %w", err)
		}
		b := &Batch{}
		if err := json.Unmarshal(line, b); err != nil {
			return fmt.Errorf("read batch snapshot: %w", err)
		}
		s.put(b)
	}
}

// Save returns the store encoded as a snapshot.
func (s *Store) Save() []byte {
	var out bytes.Buffer
	if err := s.Freeze()(&out); err != nil {
		panic(err) // the buffer does not fail, and the strings were decoded from Protobuf or JSON
	}
	return out.Bytes()
}

// writeSnapshot writes batches and ends without a batch as a snapshot.
func writeSnapshot(w io.Writer, all []*Batch, ends map[string]earlyEnd) error {
	if _, err := io.WriteString(w, snapshotMagic); err != nil {
		return err
	}
	for _, b := range all {
		if _, err := protodelim.MarshalTo(w, b.toProto()); err != nil {
			return err
		}
	}
	for id, e := range ends {
		if _, err := protodelim.MarshalTo(w, e.toProto(id)); err != nil {
			return err
		}
	}
	return nil
}
