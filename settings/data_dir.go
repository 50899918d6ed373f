package settings

import (
	"os"
	"path/filepath"

	"github.com/juju/errors"
)

// dataDirMode gives access to the owner only.
const dataDirMode = 0o700

// DataDir is the absolute path of the directory that holds a daemon's files.
type DataDir string

// UnmarshalText accepts the path of an existing directory or a path that does not exist
// yet, and makes it absolute.
func (d *DataDir) UnmarshalText(text []byte) error {
	if len(text) == 0 {
		return errors.NotValidf("empty path")
	}
	path, err := filepath.Abs(string(text))
	if err != nil {
		return errors.Trace(err)
	}
	info, err := os.Stat(path)
	if err == nil && !info.IsDir() {
		return errors.NotValidf("file %q", path)
	}
	if err != nil && !os.IsNotExist(err) {
		return errors.Trace(err)
	}
	*d = DataDir(path)
	return nil
}

// Allowed describes the accepted values.
func (DataDir) Allowed() string {
	return "the path of a readable directory or of a directory to create"
}

// Create creates the directory and its parents if they do not exist.
func (d DataDir) Create() error {
	return errors.Annotate(os.MkdirAll(string(d), dataDirMode), "create data directory")
}

// Join returns the path of a file or subdirectory in the directory.
func (d DataDir) Join(elements ...string) string {
	return filepath.Join(append([]string{string(d)}, elements...)...)
}
