package standin

// Mode selects how an upstream responds to requests.
type Mode string

// Modes of an upstream.
const (
	// ModeNormal responds after the service time.
	ModeNormal Mode = "normal"
	// ModeSlow adds DelayMS to the service time.
	ModeSlow Mode = "slow"
	// ModeFail500 and ModeFail503 respond with that status without running requests.
	ModeFail500 Mode = "fail_500"
	ModeFail503 Mode = "fail_503"
	// ModeDraining runs requests and adds X-Draining: true to every response.
	ModeDraining Mode = "draining"
	// ModeDraining503 responds with 503 and Connection: close without running requests.
	ModeDraining503 Mode = "draining_503"
	// ModeRefuse closes the listening socket, so that connecting fails. This
	// needs an UpstreamServer; without one, connections are closed without a
	// response.
	ModeRefuse Mode = "refuse"
	// ModeSilent reads requests and never responds.
	ModeSilent Mode = "silent"
	// ModeSilentOpen is silent on the connections that are open when the mode
	// is set and normal on newer ones.
	ModeSilentOpen Mode = "silent_open"
	// ModeCut runs requests and closes the connection in the middle of the response.
	ModeCut Mode = "cut"
	// ModeFailAfterRun runs requests and then responds with 500.
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
