package e2e_test

import (
	"bytes"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

// runToExit runs a program that is expected to exit by itself.
func runToExit(t *testing.T, args []string) (code int, stderr string) {
	t.Helper()
	var out bytes.Buffer
	cmd := exec.CommandContext(t.Context(), filepath.Join(binDir, args[0]), args[1:]...)
	cmd.Env = append(os.Environ(), "PM_INSECURE=true")
	cmd.Stderr = &out
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = cmd.Wait()
	}()
	eventually(t, strings.Join(args, " ")+" ends", func() bool {
		select {
		case <-ended:
			return true
		default:
			return false
		}
	})
	return cmd.ProcessState.ExitCode(), out.String()
}

func controlArgs(dir string, more ...string) []string {
	return append([]string{
		"pm-control", "--vm", "c", "--region", "bogota", "--failure-domain", "bogota-1",
		"--deployment", "bancas", "--data-dir", dir,
	}, more...)
}

func entryArgs(more ...string) []string {
	return append([]string{
		"pm-entry", "--vm", "e", "--region", "bogota", "--failure-domain", "bogota-1", "--deployment", "bancas",
		"--environment", "trial", "--controls", "127.0.0.1:1", "--platform", "127.0.0.1:1",
	}, more...)
}

// Guards against invalid settings that are accepted, or that are reported with no
// error line or more than one.
func TestInvalidSettings(t *testing.T) {
	t.Parallel()
	dir := t.TempDir()
	file := filepath.Join(dir, "file")
	writeFile(t, file, "x")
	foreign := filepath.Join(dir, "foreign")
	writeFile(t, filepath.Join(foreign, "notes.txt"), "not a data folder")
	readOnly := filepath.Join(dir, "read-only")
	writeFile(t, filepath.Join(readOnly, "sub", "x"), "")
	removeAll(t, filepath.Join(readOnly, "sub"))
	if err := os.Chmod(readOnly, 0o500); err != nil {
		t.Fatal(err)
	}
	inUse := filepath.Join(dir, "in-use")
	owner := start(t, "owner", "pm-control", controlArgs(inUse)[1:]...)
	listening := owner.address("http")
	cases := []struct {
		name      string
		args      []string
		code      int
		wantTexts []string
	}{
		{"unknown flag", controlArgs(dir, "--colour", "red"), 2, []string{"--colour"}},
		{"missing flag", []string{"pm-control", "--vm", "c"}, 2, []string{"--region", "PM_REGION"}},
		{"invalid address", controlArgs(dir, "--rpc-address", "here"), 2, []string{"--rpc-address", "PM_RPC_ADDRESS", "here"}},
		{"invalid token", controlArgs(dir, "--operator-tokens", "a:b"), 2, []string{"--operator-tokens", "64 hexadecimal"}},
		{"file instead of a directory", controlArgs(file), 2, []string{"--data-dir", file}},
		{"directory in use", controlArgs(inUse), 1, []string{inUse}},
		{"foreign directory", controlArgs(foreign), 1, []string{foreign}},
		{"address in use", controlArgs(filepath.Join(dir, "new"), "--http-address", listening), 1, []string{listening}},
		{"entry: unknown environment", entryArgs("--environment", "test"), 2, []string{"--environment", "trial", "production"}},
		{"entry: invalid controls", entryArgs("--controls", "x"), 2, []string{"--controls"}},
		{"entry: address in use", entryArgs("--address", listening), 1, []string{listening}},
		{"pmctl: no such command", []string{"pmctl", "apples"}, 2, []string{"apples"}},
		{"pmctl: no file", []string{"pmctl", "apply"}, 2, []string{"file"}},
		{"pmctl: no target", []string{"pmctl", "drain", "--region", "cali"}, 2, []string{"--to", "PM_TO"}},
		{"pmctl: invalid document", []string{"pmctl", "validate", file}, 2, []string{file}},
		{"pmctl: unreachable control VM", []string{"pmctl", "--control", "127.0.0.1:1", "status"}, 4, []string{"127.0.0.1:1"}},
		{"platform: no such list", []string{"standin-platform", "--lists", dir + "/none"}, 2, []string{"--lists", "none"}},
		{"upstream: no slots", []string{"standin-upstream", "--slots", "0"}, 2, []string{"--slots"}},
		{"caller: no such file", []string{"demo-caller", "--entry", "127.0.0.1:1", "--customers", dir + "/none"}, 2, []string{"--customers"}},
	}
	if os.Geteuid() != 0 { // root can write to read-only directories
		cases = append(cases, struct {
			name      string
			args      []string
			code      int
			wantTexts []string
		}{"read-only directory", controlArgs(readOnly), 1, []string{readOnly}})
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			code, stderr := runToExit(t, c.args)
			errors := errorLines(stderr, c.args[0])
			if code != c.code || len(errors) != 1 {
				t.Fatalf("code %d, expected %d; error lines %q of %q", code, c.code, errors, stderr)
			}
			for _, text := range c.wantTexts {
				if !strings.Contains(errors[0], text) {
					t.Errorf("%q does not contain %q", errors[0], text)
				}
			}
		})
	}
}

// errorLines returns the lines that a program prints before it exits with an error.
func errorLines(stderr, program string) []string {
	var lines []string
	for _, line := range strings.Split(stderr, "\n") {
		if strings.HasPrefix(line, program+": ") {
			lines = append(lines, line)
		}
	}
	return lines
}

func writeFile(t *testing.T, path, text string) {
	t.Helper()
	if err := os.MkdirAll(filepath.Dir(path), 0o700); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
}
