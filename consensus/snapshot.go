package consensus

import (
	"github.com/juju/errors"

	"pistachiomount.example/pistachiomount/apipb"
)

// incomingSnapshot assembles a snapshot from its chunks.
type incomingSnapshot struct {
	from, term, index uint64
	data              []byte
}

// MakeSnapshot returns a snapshot that holds data, the encoded state machine after
// entry index. The entry must be applied. The driver persists the snapshot and
// then passes it to Compact.
func (n *Node) MakeSnapshot(index uint64, data []byte) (*apipb.Snapshot, error) {
	term, ok := n.log.term(index)
	if !ok || index > n.log.applied || index < n.latestSnapshot.GetMeta().GetIndex() {
		return nil, errors.Annotatef(ErrSnapshotIndex, "index %d: applied index is %d, last snapshot is at %d",
			index, n.log.applied, n.latestSnapshot.GetMeta().GetIndex())
	}
	return &apipb.Snapshot{
		Meta: &apipb.SnapshotMeta{Index: index, Term: term, Members: n.members.at(index)},
		Data: data,
	}, nil
}

// Compact drops the entries that a persisted snapshot covers, except for the
// newest of them, up to KeepEntries and KeepBytes.
func (n *Node) Compact(s *apipb.Snapshot) {
	index := s.GetMeta().GetIndex()
	if index <= n.latestSnapshot.GetMeta().GetIndex() || index > n.log.applied {
		return
	}
	n.latestSnapshot = s
	n.log.compact(n.log.compactionIndex(index, n.cfg.KeepEntries, n.cfg.KeepBytes))
	n.members.compact(n.log.baseIndex())
}

// sendSnapshotChunk sends the next chunk. It sends a chunk again if no reply
// arrived for the time that one may take.
func (n *Node) sendSnapshotChunk(id uint64, pr *progress) {
	if pr.snapshotSentAt != 0 && n.now-pr.snapshotSentAt < uint64(n.cfg.ElectionTicks)+n.cfg.lossTicks(n.cfg.MaxAppendBytes) {
		return
	}
	pr.snapshotSentAt = n.now
	data := pr.snapshot.GetData()
	from := min(pr.snapshotOffset, uint64(len(data)))
	to := min(from+uint64(n.cfg.MaxAppendBytes-messageOverheadBytes), uint64(len(data)))
	n.send(&apipb.ConsensusMessage{
		Type: apipb.MessageType_MESSAGE_TYPE_SNAPSHOT, To: id,
		Snapshot:       &apipb.Snapshot{Meta: pr.snapshot.GetMeta(), Data: data[from:to:to]},
		SnapshotOffset: from, SnapshotTotal: uint64(len(data)),
	})
}

func handleSnapshotReply(pr *progress, m *apipb.ConsensusMessage) {
	if pr.state == progressSnapshot && m.GetIndex() == pr.snapshot.GetMeta().GetIndex() {
		pr.snapshotOffset = m.GetSnapshotOffset()
		pr.snapshotSentAt = 0
	}
}

func (n *Node) handleSnapshot(m *apipb.ConsensusMessage) error {
	meta := m.GetSnapshot().GetMeta()
	if meta.GetIndex() <= n.log.committed {
		n.sendAppendAck(m.GetFrom(), n.log.committed)
		return nil
	}
	if !n.incoming.addChunk(m) {
		n.send(&apipb.ConsensusMessage{
			Type: apipb.MessageType_MESSAGE_TYPE_SNAPSHOT_REPLY, To: m.GetFrom(),
			Index: meta.GetIndex(), SnapshotOffset: uint64(len(n.incoming.data)),
		})
		return nil
	}
	s := &apipb.Snapshot{Meta: meta, Data: n.incoming.data}
	n.incoming = incomingSnapshot{}
	n.restore(s)
	n.sendAppendAck(m.GetFrom(), meta.GetIndex())
	return nil
}

// addChunk appends a chunk and reports whether the snapshot is complete. Chunks
// from different leaders or terms are not combined, because their encodings of
// the same state may differ.
func (in *incomingSnapshot) addChunk(m *apipb.ConsensusMessage) bool {
	index := m.GetSnapshot().GetMeta().GetIndex()
	if in.from != m.GetFrom() || in.term != m.GetTerm() || in.index != index {
		*in = incomingSnapshot{from: m.GetFrom(), term: m.GetTerm(), index: index}
	}
	if m.GetSnapshotOffset() == uint64(len(in.data)) {
		in.data = append(in.data, m.GetSnapshot().GetData()...)
	}
	return uint64(len(in.data)) == m.GetSnapshotTotal()
}

// restore replaces the log by a snapshot. If the log already contains the entry
// at the snapshot's index, restore only advances the commit index.
func (n *Node) restore(s *apipb.Snapshot) {
	meta := s.GetMeta()
	if n.log.matches(meta.GetIndex(), meta.GetTerm()) {
		n.log.commitTo(meta.GetIndex())
		return
	}
	n.log.reset(meta.GetIndex(), meta.GetTerm())
	n.members = newMemberHistory(meta.GetIndex(), meta.GetMembers())
	n.latestSnapshot, n.pendingSnapshot = s, s
	n.onMembersChanged()
}

func (n *Node) sendAppendAck(to, index uint64) {
	n.send(&apipb.ConsensusMessage{Type: apipb.MessageType_MESSAGE_TYPE_APPEND_REPLY, To: to, Index: index})
}
