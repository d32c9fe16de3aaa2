package ibisscenario

import (
	"bufio"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
)

// sources tells which node's process opened a loopback connection. All nodes dial from one address, so that only the
// system's table of sockets tells them apart (/proc, on Linux); one walk over it serves everyone who waits for an answer.
type sources struct {
	// nodes returns the process ids of the running nodes by name.
	nodes func() map[string]int

	mu      sync.Mutex
	walking bool
	waiting []question
}

// question asks for the node that holds the dialing end of a connection.
type question struct {
	ends string
	node chan string
}

// of returns the name of the node that opened the connection, empty where it is none of them.
func (s *sources) of(conn net.Conn) string {
	dialing, ok := conn.RemoteAddr().(*net.TCPAddr)
	if !ok || dialing.IP.To4() == nil {
		return ""
	}
	accepting, ok := conn.LocalAddr().(*net.TCPAddr)
	if !ok || accepting.IP.To4() == nil {
		return ""
	}
	q := question{
		ends: tableAddress(dialing) + tableAddress(accepting),
		node: make(chan string, 1),
	}
	s.mu.Lock()
	s.waiting = append(s.waiting, q)
	if !s.walking {
		s.walking = true
		go s.walk()
	}
	s.mu.Unlock()
	return <-q.node
}

// walk answers questions until none waits; each walk over the sockets begins after the questions that it answers.
func (s *sources) walk() {
	for {
		s.mu.Lock()
		asked := s.waiting
		s.waiting = nil
		s.walking = len(asked) > 0
		s.mu.Unlock()
		if len(asked) == 0 {
			return
		}
		inodes := socketInodes()
		holders := make(map[string]string)
		for name, pid := range s.nodes() {
			for _, inode := range held(pid) {
				holders[inode] = name
			}
		}
		for _, q := range asked {
			inode, ok := inodes[q.ends]
			if !ok {
				q.node <- ""
				continue
			}
			q.node <- holders[inode]
		}
	}
}

// tableAddress returns an address as the table of sockets spells it.
func tableAddress(a *net.TCPAddr) string {
	ip := a.IP.To4()
	return fmt.Sprintf("%02X%02X%02X%02X:%04X", ip[3], ip[2], ip[1], ip[0], a.Port)
}

// socketInodes returns the sockets of the machine by their two ends.
func socketInodes() map[string]string {
	out := make(map[string]string)
	file, err := os.Open("/proc/net/tcp")
	if err != nil {
		return out
	}
	defer func() { _ = file.Close() }()
	const localField, remoteField, inodeField = 1, 2, 9
	for lines := bufio.NewScanner(file); lines.Scan(); {
		fields := strings.Fields(lines.Text())
		if len(fields) > inodeField {
			out[fields[localField]+fields[remoteField]] = fields[inodeField]
		}
	}
	return out
}

// held returns the sockets that a process holds.
func held(pid int) []string {
	links, err := filepath.Glob(fmt.Sprintf("/proc/%d/fd/*", pid))
	if err != nil {
		return nil
	}
	var out []string
	for _, link := range links {
		target, err := os.Readlink(link)
		if inode, ok := strings.CutPrefix(target, "socket:["); err == nil && ok {
			out = append(out, strings.TrimSuffix(inode, "]"))
		}
	}
	return out
}
