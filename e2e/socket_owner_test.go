package e2e_test

import (
	"encoding/binary"
	"fmt"
	"net"
	"os"
	"strings"
	"sync"
	"time"
)

// runningProcesses holds the processes of all tests, to find the one that opened a connection.
var runningProcesses sync.Map // *process -> bool

const (
	// maxSocketTableReads is how often the socket table is read, because a read during
	// changes can miss entries.
	maxSocketTableReads = 20
	// socketTablePause lets the changes pass that made a read miss an entry.
	socketTablePause = 5 * time.Millisecond
)

// processOfConn returns the process that opened a loopback connection, or nil. All
// processes share one address, so only the kernel's socket table identifies them.
func processOfConn(address net.Addr) *process {
	for range maxSocketTableReads {
		if p := lookUpSocketTable(address); p != nil {
			return p
		}
		time.Sleep(socketTablePause)
	}
	return nil
}

func lookUpSocketTable(address net.Addr) *process {
	table, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return nil
	}
	tcp := address.(*net.TCPAddr)
	local := fmt.Sprintf("%08X:%04X", binary.LittleEndian.Uint32(tcp.IP.To4()), tcp.Port)
	for _, line := range strings.Split(string(table), "\n") {
		fields := strings.Fields(line)
		if len(fields) > 9 && fields[1] == local {
			return processWithSocket("socket:[" + fields[9] + "]")
		}
	}
	return nil
}

func processWithSocket(socket string) *process {
	var found *process
	runningProcesses.Range(func(key, _ any) bool {
		p := key.(*process)
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
