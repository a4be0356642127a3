package disk

import (
	"bytes"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"testing"
)

// errKilled is what every file operation returns after the process was killed.
var errKilled = errors.New("killed")

// crashFiles are the file operations of a process that can be killed at any of them, on a
// machine that can lose power. A kill keeps all that was written. A power loss keeps what was
// synced; of later writes to a file, and of later changes to the directory, it keeps any part.
type crashFiles struct {
	dir string
	rng *rand.Rand
	// left is the number of operations until the process is killed.
	left int
	// fills is true if the disk is full now and then; full is the number of operations until it has room
	// again.
	fills bool
	full  int
	// synced holds the content of each file at its last sync, by inode; names the inode of
	// each durable directory entry.
	synced map[uint64][]byte
	names  map[string]uint64
	// open keeps every known file open, so that its inode is not used again.
	open []*os.File
}

func newCrashFiles(t *testing.T, dir string, rng *rand.Rand) *crashFiles {
	x := &crashFiles{dir: dir, rng: rng, synced: map[uint64][]byte{}, names: map[string]uint64{}}
	t.Cleanup(x.close)
	return x
}

// hold keeps a file open.
func (x *crashFiles) hold(path string) {
	if f, err := os.Open(path); err == nil {
		x.open = append(x.open, f)
	}
}

func (x *crashFiles) close() {
	for _, f := range x.open {
		f.Close()
	}
	x.open = nil
}

// start returns the operations of a process that is killed after n of them.
func (x *crashFiles) start(n int) Files {
	x.left = n
	return Files{Write: x.write, Sync: x.sync, Truncate: x.truncate, Rename: x.rename}
}

// isFull reports whether an operation finds the disk full.
func (x *crashFiles) isFull() bool {
	if x.full > 0 {
		x.full--
	} else if x.fills && x.rng.IntN(12) == 0 {
		x.full = 1 + x.rng.IntN(8)
	}
	return x.full > 0 && x.rng.IntN(4) > 0
}

func (x *crashFiles) truncate(f *os.File, size int64) error {
	switch x.left--; {
	case x.left < 0:
		return errKilled
	case x.isFull():
		return syscall.ENOSPC
	}
	return f.Truncate(size)
}

func (x *crashFiles) rename(from, to string) error {
	switch x.left--; {
	case x.left < 0:
		return errKilled
	case x.isFull():
		return syscall.ENOSPC
	}
	return os.Rename(from, to)
}

func (x *crashFiles) write(f *os.File, p []byte) (int, error) {
	switch x.left--; {
	case x.left < 0:
		return 0, errKilled
	case x.left == 0 && x.rng.IntN(2) == 0:
		n, _ := f.Write(p[:x.rng.IntN(len(p))])
		return n, errKilled
	case x.isFull():
		n, _ := f.Write(p[:x.rng.IntN(len(p))])
		return n, syscall.EDQUOT
	}
	return f.Write(p)
}

func (x *crashFiles) sync(f *os.File) error {
	if x.left--; x.left < 0 {
		return errKilled
	}
	if x.isFull() {
		return syscall.ENOSPC
	}
	info, err := f.Stat()
	if err != nil {
		return err
	}
	if info.IsDir() {
		x.names = listInodes(x.dir)
		for name := range x.names {
			x.hold(filepath.Join(x.dir, name))
		}
		return nil
	}
	x.hold(f.Name())
	if x.synced[inode(info)], err = os.ReadFile(f.Name()); err != nil {
		return err
	}
	if name := filepath.Base(f.Name()); x.names[name] == 0 {
		x.names[name] = inode(info) // a new file becomes durable with its own sync
	}
	return nil
}

// losePower replaces the directory by one that may be left after a power loss.
func (x *crashFiles) losePower(t *testing.T) {
	t.Helper()
	written := map[uint64][]byte{}
	current := listInodes(x.dir)
	for name, n := range current {
		data, err := os.ReadFile(filepath.Join(x.dir, name))
		if err != nil {
			t.Fatal(err)
		}
		written[n] = data
	}
	kept := map[string][]byte{}
	all := maps.Clone(x.names)
	maps.Copy(all, current)
	for _, name := range slices.Sorted(maps.Keys(all)) {
		n := x.names[name]
		if current[name] != n && x.rng.IntN(2) == 0 {
			n = current[name]
		}
		if n != 0 {
			kept[name] = x.tear(x.synced[n], written[n])
		}
	}
	for name := range current {
		if err := os.Remove(filepath.Join(x.dir, name)); err != nil {
			t.Fatal(err)
		}
	}
	x.close()
	x.synced, x.names = map[uint64][]byte{}, map[string]uint64{}
	for name, data := range kept {
		path := filepath.Join(x.dir, name)
		if err := os.WriteFile(path, data, 0o600); err != nil {
			t.Fatal(err)
		}
		x.hold(path)
		x.names[name] = listInodes(x.dir)[name]
		x.synced[x.names[name]] = data
	}
}

// tear returns the synced content with any part of what was written after it.
func (x *crashFiles) tear(synced, written []byte) []byte {
	if !bytes.HasPrefix(written, synced) {
		return synced // the file was truncated, or its inode is gone
	}
	tail := written[len(synced):]
	if len(tail) == 0 || x.rng.IntN(3) == 0 {
		return synced
	}
	tail = bytes.Clone(tail[:x.rng.IntN(len(tail)+1)])
	if len(tail) > 0 && x.rng.IntN(2) == 0 {
		tail[x.rng.IntN(len(tail))] ^= 0xff
	}
	return append(bytes.Clone(synced), tail...)
}

func listInodes(dir string) map[string]uint64 {
	out := map[string]uint64{}
	entries, _ := os.ReadDir(dir)
	for _, e := range entries {
		if info, err := e.Info(); err == nil && e.Name() != lockFile {
			out[e.Name()] = inode(info)
		}
	}
	return out
}

func inode(info os.FileInfo) uint64 { return info.Sys().(*syscall.Stat_t).Ino }

// TestKillsAndPowerLosses plays random series of kills and power losses over a log that is
// appended to, partly replaced and compacted. Everything that an earlier start read or
// acknowledged must be there at the next one, in order and without what was replaced.
func TestKillsAndPowerLosses(t *testing.T) {
	for seed := range uint64(100) {
		playCrashes(t, seed, false)
	}
}

// TestKillsAndPowerLossesOnFullDisks is the same for a disk that is full now and then, which any operation
// may be the first to notice. Such a disk must not stop for good.
func TestKillsAndPowerLossesOnFullDisks(t *testing.T) {
	for seed := range uint64(150) {
		playCrashes(t, seed, true)
	}
}

func playCrashes(t *testing.T, seed uint64, fills bool) {
	t.Helper()
	dir := t.TempDir()
	rng := rand.New(rand.NewPCG(seed, 17))
	files := newCrashFiles(t, dir, rng)
	var id uint64
	files.fills = fills
	var want []string // entry i has index i+1; those that the caller may rely on
	hard := 0         // the number of the latest hard state that is certain to be stored
	for range 12 {
		d, saved, err := Open(dir, files.start(1+rng.IntN(40)))
		for IsFull(err) {
			d, saved, err = Open(dir, files.start(files.left))
		}
		if err != nil && !errors.Is(err, errKilled) {
			t.Fatalf("seed %d: cannot open: %v", seed, err)
		}
		if err == nil {
			if id != 0 && d.ID() != id {
				t.Fatalf("seed %d: the storage number changed", seed)
			}
			id = d.ID()
			got := allTexts(t, saved)
			if len(got) < len(want) || !slices.Equal(got[:len(want)], want) {
				t.Fatalf("seed %d: entries are %q, want %q and perhaps one more write", seed, got, want)
			}
			if n, _ := strconv.Atoi(string(saved.Hard)); n < hard {
				t.Fatalf("seed %d: the hard state is %d, want %d", seed, n, hard)
			}
			if want, err = appendUntilKilled(d, rng, got, &hard); !errors.Is(err, errKilled) {
				t.Fatalf("seed %d: %v", seed, err)
			}
			d.Close()
		}
		if rng.IntN(2) == 0 {
			files.losePower(t)
		}
	}
}

// appendUntilKilled writes, replaces and compacts entries until the process is killed, and
// returns those that are certain to be stored: the acknowledged ones, without any that the
// interrupted write may have replaced. hard is the latest hard state that is.
func appendUntilKilled(d *Disk, rng *rand.Rand, log []string, hard *int) ([]string, error) {
	for n := 0; ; n++ {
		if len(log) > 0 && rng.IntN(20) == 0 {
			err := retryWhileFull(func() error { return d.SaveSnapshot(uint64(len(log)), []byte(joinLines(log))) })
			if err != nil {
				return log, err
			}
			continue
		}
		keep := len(log)
		if uint64(keep) > d.snapshotIndex && rng.IntN(4) == 0 {
			keep = int(d.snapshotIndex) + rng.IntN(keep-int(d.snapshotIndex))
		}
		text := fmt.Sprintf("%d-%d", keep+1, rng.Uint32())
		b := Batch{First: uint64(keep + 1), Entries: [][]byte{[]byte(text)}, Hard: []byte(strconv.Itoa(*hard + 1))}
		if err := retryWhileFull(func() error { return d.Append(b) }); err != nil {
			return log[:keep], err
		}
		*hard++
		log = append(slices.Clone(log[:keep]), text)
	}
}

func retryWhileFull(do func() error) error {
	for {
		err := do()
		var full *FullError
		if !errors.As(err, &full) {
			return err
		}
	}
}

func joinLines(log []string) string {
	var out bytes.Buffer
	for _, x := range log {
		out.WriteString(x + "\n")
	}
	return out.String()
}

// allTexts returns the entries of the snapshot, which lists them, and those after it.
func allTexts(t *testing.T, saved *Saved) []string {
	t.Helper()
	var out []string
	if saved.Snapshot != nil {
		for line := range strings.Lines(snapshotText(t, saved)) {
			out = append(out, strings.TrimSpace(line))
		}
	}
	return append(out, texts(saved)...)
}
