package e2e_test

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"
)

// conditionTimeout limits every wait for a condition. It only affects how long a failing
// test takes.
const conditionTimeout = 60 * time.Second

var binDir string

func TestMain(m *testing.M) {
	os.Exit(buildAndRun(m))
}

func buildAndRun(m *testing.M) int {
	dir, err := os.MkdirTemp("", "e2e")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(dir) }()
	build := exec.Command("go", "build", "-o", dir+"/", "../cmd/...")
	if out, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build: %v\n%s", err, out)
		return 1
	}
	binDir = dir
	return m.Run()
}

// process is a running program of the system.
type process struct {
	t    *testing.T
	name string
	args []string
	env  []string // added to the environment of the test
	cmd  *exec.Cmd

	mu        sync.Mutex
	osPID     int // process id, guarded by mu
	listeners map[string]string
	logLines  []string
	exited    chan struct{}
}

// start runs a program until the end of the test.
func start(t *testing.T, name, program string, args ...string) *process {
	t.Helper()
	return startWithEnv(t, nil, name, program, args...)
}

// startWithEnv runs a program with additional environment variables until the end of the test.
func startWithEnv(t *testing.T, env []string, name, program string, args ...string) *process {
	t.Helper()
	p := &process{t: t, name: name, args: append([]string{program}, args...), env: env}
	p.launch()
	runningProcesses.Store(p, true)
	t.Cleanup(func() {
		runningProcesses.Delete(p)
		p.kill()
		if t.Failed() {
			p.printLogTail()
		}
	})
	return p
}

func (p *process) launch() {
	p.t.Helper()
	p.cmd = exec.Command(filepath.Join(binDir, p.args[0]), p.args[1:]...)
	p.cmd.Env = append(append(os.Environ(), "PM_INSECURE=true", "PM_LOG_LEVEL=info"), p.env...)
	stderr, err := p.cmd.StderrPipe()
	if err != nil {
		p.t.Fatal(err)
	}
	p.cmd.Stdout = p.cmd.Stderr // the platform's daemons log to standard output
	if err := p.cmd.Start(); err != nil {
		p.t.Fatal(err)
	}
	p.mu.Lock()
	p.osPID = p.cmd.Process.Pid
	p.listeners = map[string]string{}
	p.mu.Unlock()
	exited := make(chan struct{})
	p.exited = exited
	go func() {
		defer close(exited)
		p.readLog(stderr)
		_ = p.cmd.Wait()
	}()
}

func (p *process) readLog(stderr io.Reader) {
	scanner := bufio.NewScanner(stderr)
	for scanner.Scan() {
		var line struct{ Message, Listener, Address string }
		isJSON := json.Unmarshal(scanner.Bytes(), &line) == nil
		p.mu.Lock()
		p.logLines = append(p.logLines, scanner.Text())
		if isJSON && line.Message == "listening" {
			p.listeners[line.Listener] = line.Address
		}
		p.mu.Unlock()
	}
}

// address waits for a listener and returns its address.
func (p *process) address(listener string) string {
	p.t.Helper()
	var address string
	eventually(p.t, p.name+" listens on "+listener, func() bool {
		p.mu.Lock()
		defer p.mu.Unlock()
		address = p.listeners[listener]
		return address != ""
	})
	return address
}

func (p *process) pid() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.osPID
}

func (p *process) signal(s syscall.Signal) {
	_ = p.cmd.Process.Signal(s)
}

// kill ends the process with SIGKILL.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.exited
}

// stop requests a graceful shutdown and waits for the exit.
func (p *process) stop() {
	p.t.Helper()
	p.signal(syscall.SIGTERM)
	select {
	case <-p.exited:
	case <-time.After(conditionTimeout):
		p.signal(syscall.SIGQUIT) // prints the stacks of all goroutines
		<-p.exited
		p.t.Fatalf("%s did not stop", p.name)
	}
	if code := p.cmd.ProcessState.ExitCode(); code != 0 {
		p.t.Fatalf("%s exited with code %d", p.name, code)
	}
}

// printLogTail prints the last lines of the log.
func (p *process) printLogTail() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, line := range p.logLines[max(0, len(p.logLines)-15):] {
		p.t.Logf("%s: %s", p.name, line)
	}
}

// eventually waits until the condition holds.
func eventually(t *testing.T, description string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(conditionTimeout); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if condition() {
			return
		}
	}
	t.Fatalf("not reached: %s", description)
}

// ended reports whether the process has exited.
func (p *process) ended() bool {
	select {
	case <-p.exited:
		return true
	default:
		return false
	}
}

func removeAll(t *testing.T, dir string) {
	t.Helper()
	if err := os.RemoveAll(dir); err != nil {
		t.Fatal(err)
	}
}
