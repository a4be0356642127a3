package cmds

import (
	"encoding/json"
	"fmt"

	"github.com/plantainbank/plantainbank/pkg/process/disk"
	"github.com/plantainbank/plantainbank/pkg/process/ledger"
	"github.com/plantainbank/plantainbank/pkg/process/quorum"
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
	records := 0
	var snap quorum.Snapshot
	if saved.Snapshot != nil {
		if err := json.Unmarshal(saved.Snapshot, &snap); err != nil {
			return &disk.CorruptError{File: dir, Reason: err.Error()}
		}
	}
	if len(snap.Data) > 0 {
		l, err := ledger.Restore(snap.Data)
		if err != nil {
			return &disk.CorruptError{File: dir, Reason: err.Error()}
		}
		records = len(l.Records)
	}
	fmt.Fprintf(env.out, "%s is sound: snapshot at %d with %d records, %d log entries after it, %d bytes of an unfinished write\n",
		dir, saved.SnapshotIndex, records, len(saved.Entries), saved.CutBytes)
	return nil
}
