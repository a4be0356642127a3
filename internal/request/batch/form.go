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
	// snapshotMagic begins a snapshot; batches follow, each after its length.
	// Snapshots of the first release are lines of JSON.
	snapshotMagic = "plantainbank batches 2\n"
	// batchMost is the largest batch of a snapshot in bytes.
	batchMost = 256 << 20
)

// Encode returns the bytes of a batch. It fails if a name is not UTF-8.
func (b *Batch) Encode() ([]byte, error) { return proto.Marshal(b.wire()) }

// Decode reads what Encode wrote.
func Decode(data []byte) (*Batch, error) {
	w := &batchlog.Batch{}
	if err := proto.Unmarshal(data, w); err != nil {
		return nil, fmt.Errorf("batch: %w", err)
	}
	return fromWire(w), nil
}

// Encode returns the bytes of a command. Its names and texts must be UTF-8.
func (c *Command) Encode() []byte {
	w := &batchlog.Command{End: c.End, Drop: c.Drop}
	if x := c.Checkpoint; x != nil {
		w.Save = &batchlog.Save{Batch: x.Batch, Item: x.Item, From: int64(x.Offset), Part: x.Partial.wire()}
	}
	if c.Accept != nil {
		w.Accept = c.Accept.wire()
	}
	if c.AddResults != nil {
		w.List = &batchlog.List{Batch: c.AddResults.Batch, Results: resultsToWire(c.AddResults.Results)}
	}
	data, err := proto.Marshal(w)
	if err != nil {
		panic(err) // a batch was decoded before, and texts are made UTF-8
	}
	return data
}

// decodeCommand reads what Encode wrote. Commands of the first release are JSON
// objects, and no message begins with a brace.
func decodeCommand(data []byte) (*Command, error) {
	c := &Command{}
	if len(data) > 0 && data[0] == '{' {
		if err := json.Unmarshal(data, c); err != nil {
			return nil, fmt.Errorf("batch command: %w", err)
		}
		return c, nil
	}
	w := &batchlog.Command{}
	if err := proto.Unmarshal(data, w); err != nil {
		return nil, fmt.Errorf("batch command: %w", err)
	}
	c.End, c.Drop = w.End, w.Drop
	if w.Accept != nil {
		c.Accept = fromWire(w.Accept)
	}
	if x := w.Save; x != nil {
		c.Checkpoint = &Checkpoint{Batch: x.Batch, Item: x.Item, Offset: int(x.From), Partial: partFromWire(x.Part)}
	}
	if w.List != nil {
		c.AddResults = &AddResults{Batch: w.List.Batch, Results: resultsFromWire(w.List.Results)}
	}
	return c, nil
}

func (b *Batch) wire() *batchlog.Batch {
	w := &batchlog.Batch{Id: b.ID, Route: b.Route, Host: b.Host, Workspace: b.Workspace, Submitted: b.Submitted, Due: b.Due,
		Expiry: b.Expiry, Step: int64(b.Step), Model: b.Model, Minversion: b.MinVersion, Target: int64(b.TargetGroups), Ended: b.Ended,
		Results: resultsToWire(b.Results)}
	for _, x := range b.Items {
		w.Items = append(w.Items, &batchlog.Item{Id: x.ID, Path: x.Path, Headers: x.Headers, Body: x.Body,
			Tokens: int64(x.Tokens), Group: x.Group, Print: x.Fingerprint, Part: x.Partial.wire(),
			Length: int64(x.LengthHint)})
	}
	return w
}

func fromWire(w *batchlog.Batch) *Batch {
	b := &Batch{ID: w.Id, Route: w.Route, Host: w.Host, Workspace: w.Workspace, Submitted: w.Submitted, Due: w.Due,
		Expiry: w.Expiry, Step: int(w.Step), Model: w.Model, MinVersion: w.Minversion, TargetGroups: int(w.Target), Ended: w.Ended,
		Results: resultsFromWire(w.Results), Items: make([]Item, 0, len(w.Items))}
	for _, x := range w.Items {
		b.Items = append(b.Items, Item{ID: x.Id, Path: x.Path, Headers: x.Headers, Body: x.Body, Tokens: int(x.Tokens), Group: x.Group,
			Fingerprint: x.Print, Partial: partFromWire(x.Part), LengthHint: int(x.Length)})
	}
	return b
}

func resultsToWire(results []Result) []*batchlog.Result {
	var out []*batchlog.Result
	for _, r := range results {
		out = append(out, &batchlog.Result{Item: r.Item, State: string(r.State), Text: r.Text, Packed: r.Compressed, Versions: r.Versions})
	}
	return out
}

func resultsFromWire(results []*batchlog.Result) []Result {
	var out []Result
	for _, r := range results {
		out = append(out, Result{Item: r.Item, State: State(r.State), Text: r.Text, Compressed: r.Packed, Versions: r.Versions})
	}
	return out
}

// Restore returns the store that Freeze or Save wrote. It holds one batch beside
// the store at a time.
func Restore(r io.Reader) (*Store, error) {
	in := bufio.NewReader(r)
	s := NewStore()
	magic, err := in.Peek(len(snapshotMagic))
	if err != nil && !errors.Is(err, io.EOF) {
		return nil, fmt.Errorf("batches: %w", err)
	}
	if string(magic) != snapshotMagic {
		return s, s.restoreLines(in)
	}
	if _, err := in.Discard(len(snapshotMagic)); err != nil {
		return nil, fmt.Errorf("batches: %w", err)
	}
	options := protodelim.UnmarshalOptions{MaxSize: batchMost}
	for {
		w := &batchlog.Batch{}
		if err := options.UnmarshalFrom(in, w); errors.Is(err, io.EOF) {
			return s, nil
		} else if err != nil {
			return nil, fmt.Errorf("batches: %w", err)
		}
		s.put(fromWire(w))
	}
}

// restoreLines reads a snapshot of the first release.
func (s *Store) restoreLines(in *bufio.Reader) error {
	for {
		line, err := in.ReadBytes('\n')
		if errors.Is(err, io.EOF) && len(bytes.TrimSpace(line)) == 0 {
			return nil
		}
		if err != nil && !errors.Is(err, io.EOF) {
			return fmt.Errorf("batches: %w", err)
		}
		b := &Batch{}
		if err := json.Unmarshal(line, b); err != nil {
			return fmt.Errorf("batches: %w", err)
		}
		s.put(b)
	}
}

// Save encodes the store.
func (s *Store) Save() []byte {
	var out bytes.Buffer
	if err := s.Freeze()(&out); err != nil {
		panic(err) // a buffer takes every write
	}
	return out.Bytes()
}

// writeAll writes batches as a snapshot.
func writeAll(w io.Writer, all []*Batch) error {
	if _, err := io.WriteString(w, snapshotMagic); err != nil {
		return err
	}
	for _, b := range all {
		if _, err := protodelim.MarshalTo(w, b.wire()); err != nil {
			return err
		}
	}
	return nil
}
