package disk

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"syscall"
	"testing"
)

func mustOpen(t *testing.T, dir string, files Files) (*Disk, *Saved) {
	t.Helper()
	d, saved, err := Open(dir, files)
	if err != nil {
		t.Fatal(err)
	}
	return d, saved
}

func mustAppend(t *testing.T, d *Disk, first uint64, texts ...string) {
	t.Helper()
	b := Batch{Hard: fmt.Appendf(nil, "hard-%d", first), First: first}
	for _, x := range texts {
		b.Entries = append(b.Entries, []byte(x))
	}
	if err := d.Append(b); err != nil {
		t.Fatal(err)
	}
}

func texts(saved *Saved) []string {
	var out []string
	for _, e := range saved.Entries {
		out = append(out, string(e))
	}
	return out
}

func TestReopenAfterHundredsOfChanges(t *testing.T) {
	dir := t.TempDir()
	var want []string
	var id uint64
	for round := range 20 {
		d, saved := mustOpen(t, dir, RealFiles())
		if round > 0 && (d.ID() != id || !slices.Equal(texts(saved), want)) {
			t.Fatalf("round %d: identity %x, %d entries, want %x, %d", round, d.ID(), len(saved.Entries), id, len(want))
		}
		id = d.ID()
		for range 25 {
			want = append(want, fmt.Sprintf("entry-%d", len(want)+1))
			mustAppend(t, d, uint64(len(want)), want[len(want)-1])
		}
		d.Close()
	}
}

func TestConflictingTailIsReplaced(t *testing.T) {
	dir := t.TempDir()
	d, _ := mustOpen(t, dir, RealFiles())
	mustAppend(t, d, 1, "a", "b", "c", "d")
	mustAppend(t, d, 3, "x")
	d.Close()
	d, saved := mustOpen(t, dir, RealFiles())
	defer d.Close()
	if got := texts(saved); !slices.Equal(got, []string{"a", "b", "x"}) {
		t.Fatalf("entries are %q", got)
	}
}

func snapshotText(t *testing.T, saved *Saved) string {
	t.Helper()
	r, err := saved.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	defer r.Close()
	data, err := io.ReadAll(r)
	if err != nil {
		t.Fatal(err)
	}
	return string(data)
}

func TestSnapshotDropsCoveredSegments(t *testing.T) {
	dir := t.TempDir()
	d, _ := mustOpen(t, dir, RealFiles())
	mustAppend(t, d, 1, "a", "b", "c")
	if err := d.SaveSnapshot(2, []byte("state")); err != nil {
		t.Fatal(err)
	}
	mustAppend(t, d, 4, "d")
	if err := d.SaveSnapshot(3, []byte("state-3")); err != nil {
		t.Fatal(err)
	}
	d.Close()
	d, saved := mustOpen(t, dir, RealFiles())
	defer d.Close()
	if got := snapshotText(t, saved); got != "state-3" || saved.First != 4 || !slices.Equal(texts(saved), []string{"d"}) {
		t.Fatalf("snapshot %q, first %d, entries %q", got, saved.First, texts(saved))
	}
	if string(saved.Hard) != "hard-4" {
		t.Fatalf("hard state is %q", saved.Hard)
	}
	if _, err := os.Stat(filepath.Join(dir, "000000000001.log")); !errors.Is(err, os.ErrNotExist) {
		t.Fatalf("the covered segment stands: %v", err)
	}
}

// TestCrashPoints cuts the last write at every byte and flips bytes in it: what
// was synced before survives, and what was not is gone or whole.
func TestCrashPoints(t *testing.T) {
	dir := t.TempDir()
	d, _ := mustOpen(t, dir, RealFiles())
	mustAppend(t, d, 1, "a", "b")
	before := d.size
	mustAppend(t, d, 3, "c", "d")
	path := d.segment.Name()
	d.Close()
	whole, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	rng := rand.New(rand.NewPCG(4, 2))
	for size := before; size < int64(len(whole)); size++ {
		torn := bytes.Clone(whole[:size])
		if size > before && rng.IntN(2) == 0 {
			torn[before+rng.Int64N(size-before)] ^= 0xff // pages may arrive in any order
		}
		copyDir := t.TempDir()
		if err := os.CopyFS(copyDir, os.DirFS(dir)); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(filepath.Join(copyDir, filepath.Base(path)), torn, 0o600); err != nil {
			t.Fatal(err)
		}
		d, saved := mustOpen(t, copyDir, RealFiles())
		if got := texts(saved); !slices.Equal(got, []string{"a", "b"}) || saved.TornBytes != size-before {
			t.Fatalf("cut at %d: entries %q, %d bytes removed", size, got, saved.TornBytes)
		}
		mustAppend(t, d, 3, "e")
		d.Close()
	}
}

func TestDamageIsRefused(t *testing.T) {
	for _, c := range []struct {
		name   string
		damage func(t *testing.T, dir string)
	}{
		{"byte flipped before the tail", func(t *testing.T, dir string) { flip(t, filepath.Join(dir, "000000000001.log"), 60) }},
		{"byte flipped in the last segment, before its tail", func(t *testing.T, dir string) {
			flip(t, filepath.Join(dir, "000000000002.log"), headerBytes+4)
		}},
		{"snapshot flipped", func(t *testing.T, dir string) { flip(t, filepath.Join(dir, "snapshot"), 20) }},
		{"identity gone", func(t *testing.T, dir string) { os.Remove(filepath.Join(dir, "identity")) }},
		{"identity damaged", func(t *testing.T, dir string) {
			os.WriteFile(filepath.Join(dir, "identity"), []byte("zz"), 0o600)
		}},
		{"segment gone", func(t *testing.T, dir string) { os.Remove(filepath.Join(dir, "000000000001.log")) }},
	} {
		t.Run(c.name, func(t *testing.T) {
			dir := t.TempDir()
			d, _ := mustOpen(t, dir, RealFiles())
			mustAppend(t, d, 1, "a", "b")
			if err := d.SaveSnapshot(0, []byte("state")); err != nil {
				t.Fatal(err)
			}
			mustAppend(t, d, 3, "c")
			d.Close()
			c.damage(t, dir)
			_, _, err := Open(dir, RealFiles())
			var corrupt *CorruptError
			if !errors.As(err, &corrupt) || corrupt.File == "" {
				t.Fatalf("error is %v", err)
			}
		})
	}
}

func flip(t *testing.T, path string, at int) {
	t.Helper()
	data, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	data[at] ^= 0x55
	if err := os.WriteFile(path, data, 0o600); err != nil {
		t.Fatal(err)
	}
}

// TestFailedWriteStopsTheDisk checks failing writes and syncs: the batch is
// not promised, nothing later is, and a reopened folder is sound.
func TestFailedWriteStopsTheDisk(t *testing.T) {
	for _, c := range []struct {
		name string
		fail func(f *Files, on *bool)
	}{
		{"write fails", func(f *Files, on *bool) {
			f.Write = func(file *os.File, p []byte) (int, error) {
				if *on {
					n, _ := file.Write(p[:len(p)/2])
					return n, syscall.EIO
				}
				return file.Write(p)
			}
		}},
		{"sync fails", func(f *Files, on *bool) {
			f.Sync = func(file *os.File) error {
				if *on {
					return syscall.EIO
				}
				return file.Sync()
			}
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			dir := t.TempDir()
			files, on := RealFiles(), false
			c.fail(&files, &on)
			d, _ := mustOpen(t, dir, files)
			mustAppend(t, d, 1, "a")
			on = true
			if err := d.Append(Batch{First: 2, Entries: [][]byte{[]byte("b")}}); err == nil {
				t.Fatal("a failed write was promised")
			}
			on = false
			var broken *BrokenError
			if err := d.Append(Batch{First: 3, Entries: [][]byte{[]byte("c")}}); !errors.As(err, &broken) {
				t.Fatalf("the disk went on after a failed write: %v", err)
			}
			d.Close()
			d, saved := mustOpen(t, dir, RealFiles())
			defer d.Close()
			if got := texts(saved); len(got) == 0 || got[0] != "a" || len(got) > 2 {
				t.Fatalf("entries are %q", got)
			}
		})
	}
}

func TestFolderIsLocked(t *testing.T) {
	dir := t.TempDir()
	d, _ := mustOpen(t, dir, RealFiles())
	defer d.Close()
	var locked *LockedError
	if _, _, err := Open(dir, RealFiles()); !errors.As(err, &locked) || locked.Dir != dir {
		t.Fatalf("error is %v", err)
	}
}

func TestReadAndCopyChangeNothing(t *testing.T) {
	dir := t.TempDir()
	d, _ := mustOpen(t, dir, RealFiles())
	mustAppend(t, d, 1, "a")
	path := d.segment.Name()
	d.Close()
	f, err := os.OpenFile(path, os.O_APPEND|os.O_WRONLY, 0)
	if err != nil {
		t.Fatal(err)
	}
	f.Write([]byte("torn"))
	f.Close()
	to := filepath.Join(t.TempDir(), "copy")
	if err := Copy(dir, to); err != nil {
		t.Fatal(err)
	}
	for _, x := range []string{dir, to} {
		saved, err := Read(x)
		if err != nil || saved.TornBytes != 4 || !slices.Equal(texts(saved), []string{"a"}) {
			t.Fatalf("%s: %v, %+v", x, err, saved)
		}
	}
}

// FuzzSegment reads arbitrary bytes as the last segment: it never panics, and
// whatever it accepts it accepts again unchanged.
func FuzzSegment(f *testing.F) {
	f.Add([]byte{})
	f.Add(frame([]byte("not a batch")))
	f.Add([]byte{0xff, 0xff, 0xff, 0x7f, 0, 0, 0, 0, 0, 0, 0, 0, 1})
	f.Fuzz(func(t *testing.T, data []byte) {
		dir := t.TempDir()
		os.WriteFile(filepath.Join(dir, identityFile), []byte("1f\n"), 0o600)
		os.WriteFile(filepath.Join(dir, "000000000001.log"), data, 0o600)
		d, saved, err := Open(dir, RealFiles())
		if err != nil {
			return
		}
		d.Close()
		again, err := Read(dir)
		if err != nil || !slices.Equal(texts(again), texts(saved)) {
			t.Fatalf("read again: %v", err)
		}
	})
}

// TestFullDiskIsTriedAgain fills the disk in the midst of a write, of a new
// segment and of a snapshot: nothing is promised meanwhile, a folder that is
// opened then holds what was promised, and the same batch goes in later.
func TestFullDiskIsTriedAgain(t *testing.T) {
	isFull := false
	files := RealFiles()
	files.Write = func(f *os.File, p []byte) (int, error) {
		if isFull {
			n, err := f.Write(p[:len(p)/2])
			if err == nil {
				err = syscall.ENOSPC
			}
			return n, err
		}
		return f.Write(p)
	}
	dir := t.TempDir()
	d, _ := mustOpen(t, dir, files)
	defer d.Close()
	mustAppend(t, d, 1, "a")
	steps := []struct {
		name string
		do   func() error
	}{
		{"a write", func() error { return d.Append(Batch{First: 2, Entries: [][]byte{[]byte("b")}}) }},
		{"a new segment", func() error {
			d.size += segmentBytes
			err := d.Append(Batch{First: 3, Entries: [][]byte{[]byte("c")}})
			if err != nil {
				d.size -= segmentBytes
			}
			return err
		}},
		{"a snapshot", func() error {
			return d.StreamSnapshot(1, func(w io.Writer) error { _, err := w.Write([]byte("state")); return err })
		}},
		{"the cut of the log", func() error { return d.Append(Batch{First: 4, Entries: [][]byte{[]byte("d")}}) }},
	}
	held := [][]string{{"a"}, {"a", "b"}, {"a", "b", "c"}, {"b", "c"}} // the snapshot covers the first
	for i, x := range steps {
		isFull = true
		for range 2 {
			if err := x.do(); !errors.Is(err, syscall.ENOSPC) {
				t.Fatalf("%s on a full disk: %v", x.name, err)
			}
		}
		if i == 3 {
			if err := d.Trim(1); err != nil {
				t.Fatalf("the cut of the log needs no room: %v", err)
			}
		}
		if got := reopened(t, dir); !slices.Equal(got, held[i]) {
			t.Fatalf("%s: a full folder holds %q", x.name, got)
		}
		isFull = false
		if err := x.do(); err != nil {
			t.Fatalf("%s afterwards: %v", x.name, err)
		}
	}
	if got := reopened(t, dir); !slices.Equal(got, []string{"b", "c", "d"}) {
		t.Fatalf("at the end the folder holds %q after the snapshot", got)
	}
}

// reopened returns the entries of a copy of a folder.
func reopened(t *testing.T, dir string) []string {
	t.Helper()
	to := filepath.Join(t.TempDir(), "copy")
	if err := os.CopyFS(to, os.DirFS(dir)); err != nil {
		t.Fatal(err)
	}
	d, saved := mustOpen(t, to, RealFiles())
	defer d.Close()
	return texts(saved)
}
