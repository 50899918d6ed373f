package control

import (
	"github.com/sirupsen/logrus"

	"pistachiomount.example/pistachiomount/consensus"
)

// leadershipLog logs changes of the known leader, and of the daemon's own role and
// term. One election logs a few lines on each daemon.
type leadershipLog struct {
	role   consensus.Role
	term   uint64
	leader uint64
}

// observe logs the state of the consensus node if it differs from the last call.
func (l *leadershipLog) observe(status consensus.Status, log logrus.FieldLogger) {
	now := leadershipLog{role: status.Role, term: status.Term, leader: status.Leader}
	if now == *l {
		return
	}
	*l = now
	fields := logrus.Fields{"role": status.Role, "term": status.Term, "commit": status.Commit, "last": status.LastIndex}
	if status.Leader == 0 {
		log.WithFields(fields).Info("no leader known")
		return
	}
	log.WithFields(fields).WithField("leader", status.Leader).Info("leader known")
}
