package wal

import (
	"crypto/rand"
	"encoding/binary"
	"os"
	"path/filepath"

	"github.com/juju/errors"
	"google.golang.org/protobuf/proto"

	"pistachiomount.example/pistachiomount/apipb"
)

// Identity tells whose log a folder holds.
type Identity struct {
	ClusterID uint64 // 0 until the member is part of a cluster
	// MemberID is chosen at random when the folder is made, so that a VM whose
	// disk was lost cannot pass for the member it was.
	MemberID uint64
}

// identitySalt is fixed, as the member id is what the file tells.
var identitySalt = newSalt(0, 0)

// loadOrCreateIdentity reads or makes the identity file and compares it with the
// fields of want that are set.
func (l *Log) loadOrCreateIdentity(f dirContents, want Identity) error {
	if f.identity {
		if err := l.readIdentity(); err != nil {
			return err
		}
		return l.checkIdentity(want)
	}
	if len(f.segments)+len(f.snapshots) > 0 {
		return &CorruptError{File: l.path(identityName), Reason: "file is missing"}
	}
	for want.MemberID == 0 {
		var b [8]byte
		if _, err := rand.Read(b[:]); err != nil {
			return errors.Annotate(err, "choosing a member id")
		}
		want.MemberID = binary.LittleEndian.Uint64(b[:])
	}
	return l.writeIdentity(want)
}

func (l *Log) readIdentity() error {
	name := l.path(identityName)
	data, err := readFile(l.fs, name)
	if err != nil {
		return wrapOpenError(l.dir, err)
	}
	payload, size, err := decodeFrame(data, identitySalt)
	id := &apipb.WalIdentity{}
	if err != nil || size != len(data) || proto.Unmarshal(payload, id) != nil || id.GetMemberId() == 0 {
		return &CorruptError{File: name, Reason: "not an intact identity"}
	}
	l.identity = Identity{ClusterID: id.GetClusterId(), MemberID: id.GetMemberId()}
	return nil
}

func (l *Log) checkIdentity(want Identity) error {
	have := l.identity
	if (want.MemberID != 0 && want.MemberID != have.MemberID) || (want.ClusterID != 0 && want.ClusterID != have.ClusterID) {
		return errors.Annotatef(ErrIdentityMismatch, "%s: cluster %x member %x, expected cluster %x member %x",
			l.dir, have.ClusterID, have.MemberID, want.ClusterID, want.MemberID)
	}
	return nil
}

func (l *Log) writeIdentity(id Identity) error {
	m := &apipb.WalIdentity{ClusterId: id.ClusterID, MemberId: id.MemberID}
	data, err := appendFrame(nil, identitySalt, m)
	if err != nil {
		return err
	}
	if err := writeFileAtomically(l.fs, l.dir, identityName, data); err != nil {
		return wrapOpenError(l.dir, err)
	}
	l.identity = id
	return nil
}

// Identity returns whose log this is.
func (l *Log) Identity() Identity {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.identity
}

// SetClusterID records the cluster that the member has become part of. It cannot
// be changed afterwards.
func (l *Log) SetClusterID(id uint64) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.failed != nil {
		return l.failed
	}
	if l.identity.ClusterID == id {
		return nil
	}
	if l.identity.ClusterID != 0 || id == 0 {
		return errors.Annotatef(ErrIdentityMismatch, "%s: cluster %x cannot become %x", l.dir, l.identity.ClusterID, id)
	}
	err := l.writeIdentity(Identity{ClusterID: id, MemberID: l.identity.MemberID})
	return l.fail("writing identity", err)
}

// writeFileAtomically puts a file in place as a whole: after a crash there is either
// the old one or the new one.
func writeFileAtomically(fs FS, dir, name string, data []byte) error {
	temp := filepath.Join(dir, name+tempSuffix)
	if err := writeFile(fs, temp, data); err != nil {
		return err
	}
	if err := fs.Rename(temp, filepath.Join(dir, name)); err != nil {
		return err
	}
	return fs.SyncDir(dir)
}

func writeFile(fs FS, name string, data []byte) error {
	f, err := fs.Open(name, os.O_WRONLY|os.O_CREATE|os.O_TRUNC)
	if err != nil {
		return err
	}
	_, err = f.Write(data)
	if err == nil {
		err = f.Sync()
	}
	if cerr := f.Close(); err == nil {
		err = cerr
	}
	return err
}
