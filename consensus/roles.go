package consensus

import "github.com/qmuntal/stateless"

// Role is the Raft role of a member in its group.
type Role string

// Roles of a member.
const (
	RoleLearner      Role = "learner" // also the role of a removed member and of one not added yet
	RoleFollower     Role = "follower"
	RolePreCandidate Role = "pre-candidate"
	RoleCandidate    Role = "candidate"
	RoleLeader       Role = "leader"
)

type roleTrigger string

const (
	triggerElectionTimeout roleTrigger = "election-timeout"
	triggerPreVoteWon      roleTrigger = "pre-vote-won"
	triggerTransferOrdered roleTrigger = "transfer-ordered"
	triggerVoteWon         roleTrigger = "vote-won"
	triggerStepDown        roleTrigger = "step-down"
	triggerVoterGained     roleTrigger = "voter-gained"
	triggerVoterLost       roleTrigger = "voter-lost"
)

// roleMachine is the state machine of a member's role.
type roleMachine struct {
	machine *stateless.StateMachine
	current Role
}

func newRoleMachine() *roleMachine {
	r := &roleMachine{current: RoleLearner}
	m := stateless.NewStateMachineWithMode(RoleLearner, stateless.FiringImmediate)
	m.Configure(RoleLearner).
		Permit(triggerVoterGained, RoleFollower).
		Ignore(triggerVoterLost).Ignore(triggerStepDown)
	m.Configure(RoleFollower).
		Permit(triggerElectionTimeout, RolePreCandidate).
		Permit(triggerTransferOrdered, RoleCandidate).
		Permit(triggerVoterLost, RoleLearner).
		Ignore(triggerVoterGained).Ignore(triggerStepDown)
	m.Configure(RolePreCandidate).
		PermitReentry(triggerElectionTimeout).
		Permit(triggerPreVoteWon, RoleCandidate).
		Permit(triggerStepDown, RoleFollower).
		Permit(triggerVoterLost, RoleLearner).
		Ignore(triggerVoterGained)
	m.Configure(RoleCandidate).
		Permit(triggerElectionTimeout, RolePreCandidate).
		Permit(triggerVoteWon, RoleLeader).
		Permit(triggerStepDown, RoleFollower).
		Permit(triggerVoterLost, RoleLearner).
		Ignore(triggerVoterGained)
	// A leader that is no longer a voter continues to lead until the change is committed.
	m.Configure(RoleLeader).
		Permit(triggerStepDown, RoleFollower).
		Permit(triggerTransferOrdered, RoleCandidate).
		Ignore(triggerVoterGained).Ignore(triggerVoterLost)
	r.machine = m
	return r
}

// fire applies a trigger. It panics on a transition that is not configured:
// continuing in an undefined role could violate election safety.
func (r *roleMachine) fire(t roleTrigger) {
	if err := r.machine.Fire(t); err != nil {
		panic("consensus: " + err.Error())
	}
	r.current = r.machine.MustState().(Role)
}
