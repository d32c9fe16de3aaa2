package ibistcp

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"time"
)

// uploadTimeout bounds an upload and its answer.
const uploadTimeout = 10 * time.Second

// Upload sends the head of a request, up to its last field, and a body of a length to the address, reads the answer meanwhile and returns
// its status and body. It fails if the answer is not whole.
func Upload(address, head string, length int) (status int, body string, err error) {
	conn, err := net.DialTimeout("tcp4", address, uploadTimeout)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = conn.Close() }()
	if err := conn.SetDeadline(time.Now().Add(uploadTimeout)); err != nil {
		return 0, "", err
	}
	written := make(chan error, 1)
	go func() {
		_, err := fmt.Fprintf(conn, "%sContent-Length: %d\r\n\r\n%s", head, length, strings.Repeat("u", length))
		written <- err
	}()
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, "", err
	}
	text, err := io.ReadAll(response.Body)
	if err == nil && response.ContentLength < 0 && len(response.TransferEncoding) == 0 {
		// The write may have got a reset in place of the read. One that follows an orderly end is reported as EPIPE.
		_ = conn.SetWriteDeadline(time.Now())
		if failure := <-written; errors.Is(failure, syscall.ECONNRESET) {
			err = failure
		}
	}
	return response.StatusCode, string(text), err
}
