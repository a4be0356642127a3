package cmds

import (
	"bytes"
	"fmt"
	"io"

	"github.com/plantainbank/plantainbank/internal/request/batch"
	"github.com/plantainbank/plantainbank/pkg/process/disk"
	"github.com/plantainbank/plantainbank/pkg/process/ledger"
	"github.com/plantainbank/plantainbank/pkg/process/quorum"
	"github.com/plantainbank/plantainbank/pkg/process/replica"
)

func snapshotSaveCommand() command {
	var data, to string
	return command{
		path:   "snapshot save",
		help:   "Copy the data directory of a stopped replica to a new directory.",
		detail: "Copies the files, then reads the copy like a starting process and verifies every checksum. The replica must be stopped.",
		args:   []argument{{"data", "The data directory.", &data}, {"to", "The new directory.", &to}},
		run: func(env *env) error {
			if err := disk.Copy(data, to); err != nil {
				return err
			}
			return verify(env, to)
		},
	}
}

func snapshotVerifyCommand() command {
	var data string
	return command{
		path: "snapshot verify",
		help: "Verify a data directory or a saved copy.",
		args: []argument{{"data", "The directory.", &data}},
		run:  func(env *env) error { return verify(env, data) },
	}
}

// verify reads a data directory without changing it and prints a summary.
func verify(env *env, dir string) error {
	saved, err := disk.Read(dir)
	if err != nil {
		return err
	}
	persisted, err := replica.DecodeSaved(saved)
	if err != nil {
		return &disk.CorruptError{File: dir, Reason: err.Error()}
	}
	contents, err := snapshotContents(&persisted.Snapshot)
	if err != nil {
		return &disk.CorruptError{File: dir, Reason: err.Error()}
	}
	fmt.Fprintf(env.out, "%s is sound: snapshot at %d with %s, %d log entries after it, %d bytes of an unfinished write\n",
		dir, saved.SnapshotIndex, contents, len(saved.Entries), saved.TornBytes)
	return nil
}

// snapshotContents describes what a snapshot contains: the records of a control process,
// encoded as one JSON object, or the batches of a store process.
func snapshotContents(snap *quorum.Snapshot) (string, error) {
	r, err := snap.Reader()
	if r == nil {
		return "0 records", err
	}
	defer r.Close()
	data, err := io.ReadAll(r)
	if err != nil {
		return "", err
	}
	if l, err := ledger.Restore(data); err == nil {
		return fmt.Sprintf("%d records", len(l.Records)), nil
	}
	b, err := batch.Restore(bytes.NewReader(data))
	if err != nil {
		return "", err
	}
	return fmt.Sprintf("%d batches", len(b.All())), nil
}
