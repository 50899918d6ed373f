package e2e_test

import (
	"fmt"
	"net"
	"os"
	"sync"
	"testing"
	"time"
)

// runningProcesses holds the processes of all tests, to find the one that opened a connection.
var runningProcesses sync.Map // *process -> bool

const (
	// maxSocketLookUps is how often a socket is looked up: the process may not have been started, or
	// may be opening files, when its list of files is read.
	maxSocketLookUps = 20
	// socketLookUpPause lets the changes pass that made a look-up miss.
	socketLookUpPause = 5 * time.Millisecond
)

// processOfConn returns the process of a test that opened a loopback connection, or nil. All
// processes share one address, so only the kernel knows which of them has the socket.
func processOfConn(t *testing.T, accepted net.Conn) *process {
	for range maxSocketLookUps {
		if inode, err := inodeOfSocket(accepted.RemoteAddr(), accepted.LocalAddr()); err == nil {
			if p := processWithSocket(t, fmt.Sprintf("socket:[%d]", inode)); p != nil {
				return p
			}
		}
		time.Sleep(socketLookUpPause)
	}
	return nil
}

func processWithSocket(t *testing.T, socket string) *process {
	var found *process
	runningProcesses.Range(func(key, _ any) bool {
		p := key.(*process)
		if p.t != t {
			return true
		}
		dir := fmt.Sprintf("/proc/%d/fd/", p.pid())
		files, _ := os.ReadDir(dir) // empty for a process that has exited
		for _, file := range files {
			if link, _ := os.Readlink(dir + file.Name()); link == socket {
				found = p
				return false
			}
		}
		return true
	})
	return found
}
