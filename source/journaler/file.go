package journaler

import (
	"bytes"
	"errors"
	"os"
	"path/filepath"

	"github.com/rotisserie/eris"
)

// writeFile writes a synced file under a temporary name, renames it and syncs its folder.
func writeFile(path string, data []byte) error {
	f, err := os.OpenFile(path+tempSuffix, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, fileMode)
	if err != nil {
		return eris.Wrap(err, "create file")
	}

	_, err = f.ReadFrom(bytes.NewReader(data))
	if err := errors.Join(err, f.Sync(), f.Close()); err != nil {
		return eris.Wrapf(err, "write %s", path)
	}

	if err := os.Rename(path+tempSuffix, path); err != nil {
		return eris.Wrap(err, "rename file")
	}

	return syncFolder(filepath.Dir(path))
}

func syncFolder(folder string) error {
	d, err := os.Open(folder)
	if err != nil {
		return eris.Wrap(err, "open data folder")
	}

	return eris.Wrap(errors.Join(d.Sync(), d.Close()), "sync data folder")
}

func remove(path string) error {
	if err := os.Remove(path); err != nil && !errors.Is(err, os.ErrNotExist) {
		return err
	}

	return nil
}
