package e2e_test

import (
	"testing"

	"github.com/matryer/is"

	"pistachiomount.example/pistachiomount/operator"
)

// Guards against tests that take a leader that does not answer in time, as on a busy machine, for one
// that no longer lists a VM, and go on before the VM's grants have ended.
func TestLeaseEndIsNotInferredFromSilence(t *testing.T) {
	in := &installation{t: t, operator: &operator.Client{}}
	is.New(t).True(!in.unlisted(&process{name: "entry-0"}))
}
