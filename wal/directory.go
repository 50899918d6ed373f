package wal

import (
	"fmt"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"

	"github.com/juju/errors"
)

const (
	lockName       = "LOCK"
	identityName   = "identity"
	segmentSuffix  = ".wal"
	snapshotSuffix = ".snap"
	tempSuffix     = ".tmp"
)

var logFileName = regexp.MustCompile(`^(LOCK|identity(\.tmp)?|[0-9a-f]{16}\.wal|[0-9a-f]{16}\.snap(\.tmp)?)$`)

func segmentName(number uint64) string { return fmt.Sprintf("%016x%s", number, segmentSuffix) }

func snapshotName(index uint64) string { return fmt.Sprintf("%016x%s", index, snapshotSuffix) }

// dirContents lists the files of a log directory by kind.
type dirContents struct {
	segments  []uint64 // numbers, ascending
	snapshots []uint64 // indexes, ascending
	temporary []string
	identity  bool
}

// readDirContents lists a log directory. It rejects a directory with files that this
// package did not write, so that a wrong setting does not mix a log with other data.
func readDirContents(fs FS, dir string) (dirContents, error) {
	var f dirContents
	names, err := fs.ReadDirNames(dir)
	if err != nil {
		return f, wrapOpenError(dir, err)
	}
	for _, name := range names {
		if !logFileName.MatchString(name) {
			return f, errors.Annotate(ErrForeignFiles, filepath.Join(dir, name))
		}
		number, _ := strconv.ParseUint(strings.SplitN(name, ".", 2)[0], 16, 64)
		switch filepath.Ext(name) {
		case segmentSuffix:
			f.segments = append(f.segments, number)
		case snapshotSuffix:
			f.snapshots = append(f.snapshots, number)
		case tempSuffix:
			f.temporary = append(f.temporary, name)
		default:
			f.identity = f.identity || name == identityName
		}
	}
	return f, nil
}
