package disk

import (
	"os"
	"path/filepath"
)

// Read reads a data folder and changes nothing in it. A torn tail is counted
// in TornBytes and left in place.
func Read(dir string) (*Saved, error) {
	if _, err := os.Stat(filepath.Join(dir, identityFile)); err != nil {
		return nil, Error.Wrap(err)
	}
	d := &Disk{dir: dir, readOnly: true}
	saved := &Saved{}
	if err := d.loadSnapshot(saved); err != nil {
		return nil, err
	}
	return saved, d.loadSegments(saved)
}

// Copy copies the files of an unused data folder to a new folder.
func Copy(dir, to string) error {
	d := &Disk{dir: dir}
	if err := d.takeLock(); err != nil {
		return err
	}
	defer d.lock.Close()
	if err := os.Mkdir(to, 0o700); err != nil {
		return Error.Wrap(err)
	}
	return Error.Wrap(os.CopyFS(to, os.DirFS(dir)))
}
