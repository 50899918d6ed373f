package main

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/matryer/is"

	"pistachiomount.example/pistachiomount/settings"
)

// Guards against a drain without a target, which wrote a document that differed only in its
// number, and against a drain with two targets, which wrote an invalid entry.
func TestDrainNeedsOneTarget(t *testing.T) {
	for _, args := range [][]string{{}, {"--region", "cali", "--upstream", "records-cali-1"}} {
		is := is.New(t)
		to := filepath.Join(t.TempDir(), "next.yaml")
		code := execute(append([]string{"drain", "--to", to}, args...))
		is.Equal(code, settings.ExitUsage)
		_, err := os.Stat(to)
		is.True(os.IsNotExist(err))
	}
}
