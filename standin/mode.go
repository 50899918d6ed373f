package standin

// Mode is a way in which an upstream misbehaves.
type Mode string

// The modes.
const (
	// ModeNormal answers after the service time.
	ModeNormal Mode = "normal"
	// ModeSlow adds DelayMS to the service time.
	ModeSlow Mode = "slow"
	// ModeFail500 and ModeFail503 answer with that status and run nothing.
	ModeFail500 Mode = "fail_500"
	ModeFail503 Mode = "fail_503"
	// ModeDraining runs requests and adds X-Draining: true to every answer.
	ModeDraining Mode = "draining"
	// ModeDraining503 answers 503 with Connection: close and runs nothing.
	ModeDraining503 Mode = "draining_503"
	// ModeRefuse closes the listening socket, so that connecting fails. Only
	// an UpstreamServer can do this; without one, connections are closed
	// without an answer.
	ModeRefuse Mode = "refuse"
	// ModeSilent reads requests and never answers.
	ModeSilent Mode = "silent"
	// ModeSilentOpen is silent on the connections that are open when the mode
	// is set and normal on newer ones.
	ModeSilentOpen Mode = "silent_open"
	// ModeCut runs requests and closes the connection in the middle of the answer.
	ModeCut Mode = "cut"
	// ModeFailAfterRun runs requests and then answers 500.
	ModeFailAfterRun Mode = "fail_after_run"
)

func (m Mode) valid() bool {
	switch m {
	case ModeNormal, ModeSlow, ModeFail500, ModeFail503, ModeDraining, ModeDraining503,
		ModeRefuse, ModeSilent, ModeSilentOpen, ModeCut, ModeFailAfterRun:
		return true
	default:
		return false
	}
}
