package ibisresponse

import (
	"bytes"
	"errors"
	"fmt"
	"net/http"

	"golang.org/x/net/http/httpguts"
)

// ErrMalformed reports the head of a response that no sound server sends.
var ErrMalformed = errors.New("malformed response head")

// state is the part of a head to which the next byte belongs.
type state int

const (
	// stateProtocol is the status line up to the first blank.
	stateProtocol state = iota
	// stateStatus is the status code with the blanks before it.
	stateStatus
	// stateRest is the rest of a line.
	stateRest
	// stateLineStart is the begin of a line after the status line.
	stateLineStart
	// stateLineFeed is the line feed that ends the head.
	stateLineFeed
	// stateName is the name of a field, without its first byte.
	stateName
	// stateFold is the blanks at the begin of a line, which continues the value of a field.
	stateFold
	// stateFoldWord is the first word of such a line, without its first byte.
	stateFoldWord
	// stateEnd is what follows the head.
	stateEnd
)

const (
	// statusDigits is the number of digits of a status code.
	statusDigits = 3
	// transferEncoding is the name, in lower case, of the field that HTTP/1.0 doesn't have. A server that sends it there may mean chunks,
	// which net/http would read as the body.
	transferEncoding = "transfer-encoding"
)

// HeadChecker checks the head of a response, with the interim ones before it, byte by byte. The zero value is ready for use.
type HeadChecker struct {
	state state
	// minor is the last byte of the protocol.
	minor  byte
	status int
	digits int
	// matched is the number of bytes of a name that are those of transferEncoding, -1 if another one is among them.
	matched int
	err     error
}

// Begin makes the next byte the first one of a response. A fault lasts.
func (c *HeadChecker) Begin() {
	*c = HeadChecker{
		err: c.err,
	}
}

// Check checks the next bytes. It returns the number of bytes before the first fault and that fault, an ErrMalformed; what follows the
// head is not checked.
func (c *HeadChecker) Check(p []byte) (int, error) {
	if c.err != nil {
		return 0, c.err
	}
	for i := 0; i < len(p) && c.state != stateEnd; i++ {
		if c.state == stateRest {
			end := bytes.IndexByte(p[i:], '\n')
			if end < 0 {
				break
			}
			c.state = stateLineStart
			i += end
			continue
		}
		if c.err = c.next(p[i]); c.err != nil {
			return i, c.err
		}
	}
	return len(p), nil
}

func (c *HeadChecker) next(b byte) error {
	switch c.state {
	case stateProtocol:
		return c.nextOfProtocol(b)
	case stateStatus:
		return c.nextOfStatus(b)
	case stateLineStart:
		return c.nextOfLine(b)
	case stateLineFeed:
		if b != '\n' {
			return nameFault('\r')
		}
		c.endHead()
	case stateName:
		return c.nextOfName(b)
	case stateFold, stateFoldWord:
		return c.nextOfFold(b)
	case stateRest, stateEnd:
	}
	return nil
}

func (c *HeadChecker) nextOfLine(b byte) error {
	switch {
	case b == '\n':
		c.endHead()
	case b == '\r':
		c.state = stateLineFeed
	case isBlank(b):
		c.state = stateFold
	default:
		c.state = stateName
		c.matched = 0
		if b == ':' {
			return nameFault(b)
		}
		return c.nextOfName(b)
	}
	return nil
}

func (c *HeadChecker) nextOfName(b byte) error {
	switch {
	case b == ':':
		c.state = stateRest
		if c.minor == '0' && c.matched == len(transferEncoding) {
			return fmt.Errorf("%w: transfer encoding in HTTP/1.0", ErrMalformed)
		}
	case !isToken(b):
		return nameFault(b)
	case c.matched >= 0 && c.matched < len(transferEncoding) && b|('a'-'A') == transferEncoding[c.matched]:
		c.matched++
	default:
		c.matched = -1
	}
	return nil
}

// nextOfFold checks a line that begins with a blank. Where a field could begin behind it, the blank may as well belong to the name of
// that field.
func (c *HeadChecker) nextOfFold(b byte) error {
	switch {
	case b == '\n':
		c.state = stateLineStart
	case isToken(b):
		c.state = stateFoldWord
	case b == ':' && c.state == stateFoldWord:
		return nameFault(' ')
	case !isBlank(b) || c.state == stateFoldWord:
		c.state = stateRest
	}
	return nil
}

func isBlank(b byte) bool { return b == ' ' || b == '\t' }

func isToken(b byte) bool { return httpguts.IsTokenRune(rune(b)) }

// nameFault returns the fault of a field whose name has the byte.
func nameFault(b byte) error {
	return fmt.Errorf("%w: %q in the name of a field", ErrMalformed, b)
}

func (c *HeadChecker) nextOfProtocol(b byte) error {
	switch b {
	case ' ':
		c.state = stateStatus
	case '\n':
		return fmt.Errorf("%w: no status", ErrMalformed)
	default:
		c.minor = b
	}
	return nil
}

func (c *HeadChecker) nextOfStatus(b byte) error {
	switch {
	case b == ' ' && c.digits == 0:
		return nil
	case '0' <= b && b <= '9' && c.digits < statusDigits:
		c.status = 10*c.status + int(b-'0')
		c.digits++
		return nil
	case c.digits < statusDigits || b != ' ' && b != '\r' && b != '\n':
		return fmt.Errorf("%w: status is not a number of %d digits", ErrMalformed, statusDigits)
	}
	// No request of this project asks for another protocol.
	if c.status < http.StatusContinue || c.status == http.StatusSwitchingProtocols {
		return fmt.Errorf("%w: status %03d", ErrMalformed, c.status)
	}
	c.state = stateRest
	if b == '\n' {
		c.state = stateLineStart
	}
	return nil
}

// endHead ends a head: a response follows an interim one.
func (c *HeadChecker) endHead() {
	if c.status < http.StatusOK {
		c.Begin()
		return
	}
	c.state = stateEnd
}
