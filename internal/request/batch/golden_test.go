package batch

import (
	"bufio"
	"bytes"
	"encoding/json"
	"flag"
	"os"
	"path/filepath"
	"testing"

	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/types/known/wrapperspb"
)

// writeGolden names a folder to which TestGoldenFiles writes the files of this build, for testdata/
// once the build has landed.
var writeGolden = flag.String("golden.write", "", "folder to write the files of this build to")

// goldenCommands are commands of each form, with every field.
func goldenCommands() []*Command {
	workspace := "w"
	scorer := &Scorer{ID: "score-1", Host: "h", Path: "/score", Body: []byte("score")}
	items := []Item{
		{ID: "a-1", Path: "/x/1", Headers: map[string]string{"Model": "m"}, Body: []byte{0, 255}, Tokens: 12, LengthHint: 5, Group: "g", Scorer: scorer},
		{ID: "a-2", Path: "/x/2", Body: []byte("body"), Group: "g", Partial: &PartialResult{Events: 2, Chunks: [][]byte{{1, 2}}, LastEventID: "2",
			Versions: []uint64{3}, Software: "v1"}},
		{ID: "a-3", Path: "/x/3"}, {ID: "a-4", Path: "/x/4"},
	}
	return []*Command{
		{Accept: &Batch{ID: "a", Route: "r", Host: "h", Workspace: "w", Submitted: 1000, Due: 7500, Expiry: 40000, Step: 3, Model: "m", MinVersion: 2,
			TargetGroups: 1, Items: items}},
		{Accept: &Batch{ID: "b", Step: -1, Items: []Item{{ID: "b-1", Path: "/y"}}}},
		{Checkpoint: &Checkpoint{Batch: "a", Item: "a-3", Partial: &PartialResult{Events: 24, Chunks: [][]byte{{1}}, LastEventID: "24", Versions: []uint64{3}, Software: "v2"}}},
		{Checkpoint: &Checkpoint{Batch: "a", Item: "a-3", Offset: 24, Partial: &PartialResult{Events: 48, Chunks: [][]byte{{2}}, LastEventID: "48", Versions: []uint64{3, 4}, Software: "v2"}}},
		{Checkpoint: &Checkpoint{Batch: "a", Item: "a-1", Partial: &PartialResult{Events: 9, Chunks: [][]byte{{9}}, LastEventID: "9", Versions: []uint64{4}, Whole: true}}},
		{AddResults: &AddResults{"a", []Result{{Item: "a-1", State: Completed, Versions: []uint64{4}, Score: "s", Stored: true},
			{Item: "a-2", State: Completed, Text: "text", Versions: []uint64{3}}, {Item: "a-4", State: Dead}}}},
		{End: "b", Workspace: new(string), Asked: 2000},
		{End: "early", Workspace: &workspace, Asked: 3000},
		{Accept: &Batch{ID: "c", Items: []Item{{ID: "c-1", Path: "/z"}}}},
		{Drop: []string{"c"}},
	}
}

// goldenState returns the batches as text, and the ends without a batch.
func goldenState(t *testing.T, s *Store) string {
	t.Helper()
	ends := map[string]string{}
	for id, e := range s.earlyEnds {
		ends[id] = e.workspace
	}
	data, err := json.MarshalIndent(map[string]any{"batches": s.all, "ends": ends}, "", " ")
	if err != nil {
		t.Fatal(err)
	}
	return string(data)
}

// TestGoldenFiles reads what builds that have landed wrote to logs and snapshots: a process may come back
// with another build on its disk, and a group may have members of two builds.
func TestGoldenFiles(t *testing.T) {
	current := NewStore()
	var log bytes.Buffer
	for _, c := range goldenCommands() {
		data, err := c.Encode()
		if err != nil {
			t.Fatal(err)
		}
		if _, err := protodelim.MarshalTo(&log, wrapperspb.Bytes(data)); err != nil {
			t.Fatal(err)
		}
		apply(t, current, c)
	}
	want := goldenState(t, current)
	if dir := *writeGolden; dir != "" {
		for name, data := range map[string][]byte{"commands": log.Bytes(), "snapshot": current.Save(), "state.json": []byte(want)} {
			if err := os.WriteFile(filepath.Join(dir, name), data, 0o644); err != nil {
				t.Fatal(err)
			}
		}
	}
	dirs, err := filepath.Glob("testdata/golden-*")
	if err != nil || len(dirs) == 0 {
		t.Fatalf("no golden files: %v", err)
	}
	for _, dir := range dirs {
		read := func(name string) []byte {
			data, err := os.ReadFile(filepath.Join(dir, name))
			if err != nil {
				t.Fatal(err)
			}
			return data
		}
		replayed := NewStore()
		for r := bufio.NewReader(bytes.NewReader(read("commands"))); ; {
			var command wrapperspb.BytesValue
			if protodelim.UnmarshalFrom(r, &command) != nil {
				break
			}
			if _, err := replayed.Apply(command.Value); err != nil {
				t.Errorf("%s: %v", dir, err)
			}
		}
		restored, err := Restore(bytes.NewReader(read("snapshot")))
		if err != nil {
			t.Fatalf("%s: %v", dir, err)
		}
		state := string(read("state.json"))
		if got := goldenState(t, replayed); got != state {
			t.Errorf("%s: the commands give %s, want %s", dir, got, state)
		}
		if got := goldenState(t, restored); got != state {
			t.Errorf("%s: the snapshot gives %s, want %s", dir, got, state)
		}
	}
}
