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
		help:   "Copy the state of a stopped replica's data folder to a new folder.",
		detail: "Reads the folder as the process would, checks every checksum and copies it file by file. The replica must be stopped.",
		args:   []argument{{"data", "The data folder.", &data}, {"to", "The new folder.", &to}},
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
		help: "Check a data folder or a saved copy.",
		args: []argument{{"data", "The folder.", &data}},
		run:  func(env *env) error { return verify(env, data) },
	}
}

// verify reads a folder without changing it.
func verify(env *env, dir string) error {
	saved, err := disk.Read(dir)
	if err != nil {
		return err
	}
	persisted, err := replica.DecodeSaved(saved)
	if err != nil {
		return &disk.CorruptError{File: dir, Reason: err.Error()}
	}
	held, err := holds(&persisted.Snapshot)
	if err != nil {
		return &disk.CorruptError{File: dir, Reason: err.Error()}
	}
	fmt.Fprintf(env.out, "%s is sound: snapshot at %d with %s, %d log entries after it, %d bytes of an unfinished write\n",
		dir, saved.SnapshotIndex, held, len(saved.Entries), saved.TornBytes)
	return nil
}

// holds tells what a snapshot holds: the batches of a store process, or the
// records of a control process, which are one JSON object.
func holds(snap *quorum.Snapshot) (string, error) {
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
