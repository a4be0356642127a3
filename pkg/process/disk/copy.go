package disk

import (
	"os"
	"path/filepath"
)

// Read reads a data directory without locking or changing it. A torn write at the end of the
// log is counted in TornBytes and left in place.
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

// Copy copies the files of a data directory that is not in use to a new directory.
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
