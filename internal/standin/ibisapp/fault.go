package ibisapp

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

// Fault is what a backend server does wrong with the answers to its requests.
type Fault int

const (
	// FaultNone means that it does nothing wrong.
	FaultNone Fault = iota
	// FaultEndlessHead means that the head of an answer has no end.
	FaultEndlessHead
	// FaultEndlessBody means that the body of an answer has no end.
	FaultEndlessBody
	// FaultReset means that the connection is closed instead of an answer.
	FaultReset
	// FaultCrash means that the server ends instead of an answer.
	FaultCrash
)

const (
	// endlessBlock is the number of bytes that a fault sends at once, and endlessPause the pause between two blocks.
	endlessBlock = 4 << 10
	endlessPause = 5 * time.Millisecond
)

// SetFault sets what the server does wrong from its next answer on.
func (s *Server) SetFault(fault Fault) { s.fault.Store(int32(fault)) }

// failAnswer does what the fault says: an answer without end lasts until the connection is closed, the fault ends or the server does.
func (s *Server) failAnswer(w http.ResponseWriter, id string, fault Fault) {
	if fault == FaultCrash {
		s.Crash()
	}
	if fault == FaultReset || fault == FaultCrash {
		panic(http.ErrAbortHandler)
	}
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\n", id)
	block := "Endless: " + strings.Repeat("e", endlessBlock) + "\r\n"
	if fault == FaultEndlessBody {
		head += "Transfer-Encoding: chunked\r\n\r\n"
		block = fmt.Sprintf("%x\r\n%s\r\n", endlessBlock, strings.Repeat("e", endlessBlock))
	}
	_, err = io.WriteString(conn, head)
	for err == nil && s.done.Err() == nil && Fault(s.fault.Load()) == fault {
		time.Sleep(endlessPause)
		_, err = io.WriteString(conn, block)
	}
}
