package e2e_test

import (
	"encoding/binary"
	"fmt"
	"net"
	"os"
	"strings"
	"sync"
)

// running are the processes of all tests, to tell who opened a connection.
var running sync.Map // *process -> bool

// ownerTries is how often the socket table is read: a read while it changes can
// miss entries.
const ownerTries = 5

// ownerOf returns the process that opened a loopback connection, or nil. All
// processes share one address, so only the kernel's socket table tells them apart.
func ownerOf(address net.Addr) *process {
	for range ownerTries {
		if p := findOwner(address); p != nil {
			return p
		}
	}
	return nil
}

func findOwner(address net.Addr) *process {
	table, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return nil
	}
	tcp := address.(*net.TCPAddr)
	local := fmt.Sprintf("%08X:%04X", binary.LittleEndian.Uint32(tcp.IP.To4()), tcp.Port)
	for _, line := range strings.Split(string(table), "\n") {
		fields := strings.Fields(line)
		if len(fields) > 9 && fields[1] == local {
			return holderOf("socket:[" + fields[9] + "]")
		}
	}
	return nil
}

func holderOf(socket string) *process {
	var holder *process
	running.Range(func(key, _ any) bool {
		p := key.(*process)
		dir := fmt.Sprintf("/proc/%d/fd/", p.pid())
		files, _ := os.ReadDir(dir) // empty for a process that has ended
		for _, file := range files {
			if link, _ := os.Readlink(dir + file.Name()); link == socket {
				holder = p
				return false
			}
		}
		return true
	})
	return holder
}
