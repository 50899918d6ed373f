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

// patience bounds every wait for a condition; it only decides how long a broken
// build takes to fail.
const patience = 60 * time.Second

var binaries string

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
	binaries = dir
	return m.Run()
}

// process is a running program of the system.
type process struct {
	t    *testing.T
	name string
	args []string
	env  []string // added to that of the test
	cmd  *exec.Cmd

	mu        sync.Mutex
	id        int // of the operating system
	listeners map[string]string
	lines     []string
	exited    chan struct{}
}

// start runs a program until the end of the test.
func start(t *testing.T, name, program string, args ...string) *process {
	t.Helper()
	return startWith(t, nil, name, program, args...)
}

// startWith does so with further environment variables.
func startWith(t *testing.T, env []string, name, program string, args ...string) *process {
	t.Helper()
	p := &process{t: t, name: name, args: append([]string{program}, args...), env: env}
	p.launch()
	running.Store(p, true)
	t.Cleanup(func() {
		running.Delete(p)
		p.kill()
		if t.Failed() {
			p.dump()
		}
	})
	return p
}

func (p *process) launch() {
	p.t.Helper()
	p.cmd = exec.Command(filepath.Join(binaries, p.args[0]), p.args[1:]...)
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
	p.id = p.cmd.Process.Pid
	p.listeners = map[string]string{}
	p.mu.Unlock()
	exited := make(chan struct{})
	p.exited = exited
	go func() {
		defer close(exited)
		p.read(stderr)
		_ = p.cmd.Wait()
	}()
}

func (p *process) read(stderr io.Reader) {
	scanner := bufio.NewScanner(stderr)
	for scanner.Scan() {
		var line struct{ Message, Listener, Address string }
		isJSON := json.Unmarshal(scanner.Bytes(), &line) == nil
		p.mu.Lock()
		p.lines = append(p.lines, scanner.Text())
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
	return p.id
}

func (p *process) signal(s syscall.Signal) {
	_ = p.cmd.Process.Signal(s)
}

// kill ends the process without warning.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.exited
}

// stop asks for a planned stop and waits for its end.
func (p *process) stop() {
	p.t.Helper()
	p.signal(syscall.SIGTERM)
	select {
	case <-p.exited:
	case <-time.After(patience):
		p.signal(syscall.SIGQUIT) // prints what it waits for
		<-p.exited
		p.t.Fatalf("%s did not stop", p.name)
	}
	if code := p.cmd.ProcessState.ExitCode(); code != 0 {
		p.t.Fatalf("%s ended with code %d", p.name, code)
	}
}

// dump prints the end of the log.
func (p *process) dump() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, line := range p.lines[max(0, len(p.lines)-15):] {
		p.t.Logf("%s: %s", p.name, line)
	}
}

// eventually waits until the condition holds.
func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(patience); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if condition() {
			return
		}
	}
	t.Fatalf("not reached: %s", what)
}

// ended reports whether the process has ended.
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
