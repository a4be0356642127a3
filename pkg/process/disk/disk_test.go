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
	"strings"
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
		t.Fatalf("the covered segment still exists: %v", err)
	}
}

// TestCrashPoints truncates the last write at every byte and flips bytes in it. Open must
// return all entries synced before that write, and none of the torn one.
func TestCrashPoints(t *testing.T) {
	dir := t.TempDir()
	d, _ := mustOpen(t, dir, RealFiles())
	mustAppend(t, d, 1, "a", "b")
	before := d.size
	mustAppend(t, d, 3, "c", "d")
	path := d.segment.Name()
	d.Close()
	complete, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	rng := rand.New(rand.NewPCG(4, 2))
	for size := before; size < int64(len(complete)); size++ {
		torn := bytes.Clone(complete[:size])
		if size > before && rng.IntN(2) == 0 {
			torn[before+rng.Int64N(size-before)] ^= 0xff // pages may be written in any order
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

func TestCorruptionIsDetected(t *testing.T) {
	for _, c := range []struct {
		name   string
		damage func(t *testing.T, dir string)
	}{
		{"byte flipped before the tail", func(t *testing.T, dir string) { flipByte(t, filepath.Join(dir, "000000000001.log"), 60) }},
		{"byte flipped in the last segment, before its tail", func(t *testing.T, dir string) {
			flipByte(t, filepath.Join(dir, "000000000002.log"), frameHeaderBytes+4)
		}},
		{"byte flipped in the snapshot", func(t *testing.T, dir string) { flipByte(t, filepath.Join(dir, "snapshot"), 20) }},
		{"identity file missing", func(t *testing.T, dir string) { os.Remove(filepath.Join(dir, "identity")) }},
		{"identity file damaged", func(t *testing.T, dir string) {
			os.WriteFile(filepath.Join(dir, "identity"), []byte("zz"), 0o600)
		}},
		{"segment missing", func(t *testing.T, dir string) { os.Remove(filepath.Join(dir, "000000000001.log")) }},
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

func flipByte(t *testing.T, path string, at int) {
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

// TestFailedWriteStopsTheDisk fails a write or a sync. That batch and all later ones must
// return an error, and the directory must open with the entry synced before.
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
				t.Fatal("a failed write returned no error")
			}
			on = false
			var broken *BrokenError
			if err := d.Append(Batch{First: 3, Entries: [][]byte{[]byte("c")}}); !errors.As(err, &broken) {
				t.Fatalf("the disk accepted a write after a failed one: %v", err)
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

func TestDirectoryIsLocked(t *testing.T) {
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

// FuzzSegment opens a directory whose last segment has arbitrary bytes. Open must not panic,
// and entries that it accepts must be read again unchanged.
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

// TestRetryAfterFullDisk fails with ENOSPC halfway through a write, a new segment and a
// snapshot. The operation must return an error, the directory must open with exactly the
// entries synced before, and the same operation must succeed once the disk has space.
func TestRetryAfterFullDisk(t *testing.T) {
	for _, c := range []struct {
		name string
		fail func(f *Files, isFull *bool)
	}{
		{"at a write", func(f *Files, isFull *bool) {
			f.Write = func(f *os.File, p []byte) (int, error) {
				if *isFull {
					n, err := f.Write(p[:len(p)/2])
					if err == nil {
						err = syscall.ENOSPC
					}
					return n, err
				}
				return f.Write(p)
			}
		}},
		{"at a sync", func(f *Files, isFull *bool) {
			f.Sync = func(f *os.File) error {
				if *isFull {
					return syscall.ENOSPC
				}
				return f.Sync()
			}
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			isFull, files := false, RealFiles()
			c.fail(&files, &isFull)
			retryAfterFullDisk(t, files, &isFull)
		})
	}
}

func retryAfterFullDisk(t *testing.T, files Files, isFull *bool) {
	t.Helper()
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
		{"a write after the snapshot", func() error { return d.Append(Batch{First: 4, Entries: [][]byte{[]byte("d")}}) }},
	}
	want := [][]string{{"a"}, {"a", "b"}, {"a", "b", "c"}, {"b", "c"}} // the snapshot covers the first
	for i, x := range steps {
		*isFull = true
		for range 2 {
			if err := x.do(); !errors.Is(err, syscall.ENOSPC) {
				t.Fatalf("%s on a full disk: %v", x.name, err)
			}
		}
		if i == 3 {
			if err := d.Trim(1); err != nil {
				t.Fatalf("trimming the log must succeed on a full disk: %v", err)
			}
		}
		if got := reopenCopy(t, dir); !slices.Equal(got, want[i]) {
			t.Fatalf("%s: the directory on a full disk has the entries %q", x.name, got)
		}
		*isFull = false
		if err := x.do(); err != nil {
			t.Fatalf("%s after the disk has space: %v", x.name, err)
		}
	}
	if got := reopenCopy(t, dir); !slices.Equal(got, []string{"b", "c", "d"}) {
		t.Fatalf("the directory finally has the entries %q after the snapshot", got)
	}
}

// reopenCopy opens a copy of a directory and returns its entries.
func reopenCopy(t *testing.T, dir string) []string {
	t.Helper()
	to := filepath.Join(t.TempDir(), "copy")
	if err := os.CopyFS(to, os.DirFS(dir)); err != nil {
		t.Fatal(err)
	}
	d, saved := mustOpen(t, to, RealFiles())
	defer d.Close()
	return texts(saved)
}

func frame(body []byte) []byte {
	p := make([]byte, frameHeaderBytes, frameHeaderBytes+len(body))
	putHeader(p, body)
	return append(p, body...)
}

// TestLargeBatchIsReadAgain guards against a batch that is written in several parts and cannot be read, or is
// taken for written when a part of it is missing.
func TestLargeBatchIsReadAgain(t *testing.T) {
	large := strings.Repeat("0123456789abcdef", 2*streamedBytes/16)
	for _, x := range []struct {
		cut  int64
		want int
	}{{0, 3}, {streamedBytes, 2}, {1, 2}} {
		dir := t.TempDir()
		d, _ := mustOpen(t, dir, RealFiles())
		mustAppend(t, d, 1, large, "small")
		mustAppend(t, d, 3, large)
		d.Close()
		if err := os.Truncate(filepath.Join(dir, fmt.Sprintf("%012d%s", d.number, segmentSuffix)), d.size-x.cut); err != nil {
			t.Fatal(err)
		}
		again, saved := mustOpen(t, dir, RealFiles())
		again.Close()
		if len(saved.Entries) != x.want || string(saved.Entries[0]) != large {
			t.Errorf("%d entries read after %d bytes were cut, want %d", len(saved.Entries), x.cut, x.want)
		}
	}
}
