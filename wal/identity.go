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

// Identity names the member and the cluster to which a log belongs.
type Identity struct {
	ClusterID uint64 // 0 until the member is part of a cluster
	// MemberID is chosen at random when the log is created, so that a VM that lost
	// its disk cannot rejoin as the member it was before.
	MemberID uint64
}

// identitySalt does not depend on the member id, because the member id is read
// from the identity file.
var identitySalt = newSalt(0, 0)

// loadOrCreateIdentity reads the identity file and compares it with the fields of
// want that are set, or creates the file in an empty directory.
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
			return errors.Annotate(err, "generating a member id")
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
		return &CorruptError{File: name, Reason: "invalid identity file"}
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

// Identity returns the member and the cluster to which the log belongs.
func (l *Log) Identity() Identity {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.identity
}

// SetClusterID records the cluster that the member has joined. It cannot be
// changed afterwards.
func (l *Log) SetClusterID(id uint64) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.failure != nil {
		return l.failure
	}
	if l.identity.ClusterID == id {
		return nil
	}
	if l.identity.ClusterID != 0 || id == 0 {
		return errors.Annotatef(ErrIdentityMismatch, "%s: cluster id %x cannot be changed to %x", l.dir, l.identity.ClusterID, id)
	}
	err := l.writeIdentity(Identity{ClusterID: id, MemberID: l.identity.MemberID})
	return l.fail("writing identity", err)
}

// writeFileAtomically creates or replaces a file durably: after a crash either the
// old or the new content is there.
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
