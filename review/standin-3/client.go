//go:build review

package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/google/uuid"
)

// clientTimeout is how long a client waits for an answer.
const clientTimeout = 3 * time.Second

// answer is what a client got; Err is set if that is no complete answer.
type answer struct {
	Status int
	Header http.Header
	Body   string
	Err    error
}

// String describes the answer.
func (a answer) String() string {
	if a.Err != nil {
		return "no answer: " + a.Err.Error()
	}
	return fmt.Sprintf("%d, %q", a.Status, a.Body)
}

// newID returns the id of a request.
func newID() string {
	return uuid.NewString()[:16]
}

// send sends a request on a new connection, with the path as it is given, and reads the answer.
func send(front, method, target, id, body string) answer {
	conn, err := net.DialTimeout("tcp", front, time.Second)
	if err != nil {
		return answer{Err: err}
	}
	defer func() { _ = conn.Close() }()
	return sendOn(conn, method, target, id, body)
}

// sendOn sends a request on a connection.
func sendOn(conn net.Conn, method, target, id, body string) answer {
	_ = conn.SetDeadline(time.Now().Add(clientTimeout))
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\n",
		method, target, host, wire["requestID"], id, wire["deadline"], clientTimeout.Milliseconds())
	if method == http.MethodPost {
		head += fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	if _, err := io.WriteString(conn, head+"\r\n"+body); err != nil {
		return answer{Err: err}
	}
	return readAnswer(bufio.NewReader(conn), method)
}

// readAnswer reads the answer to a request with a method.
func readAnswer(reader *bufio.Reader, method string) answer {
	response, err := http.ReadResponse(reader, &http.Request{Method: method})
	if err != nil {
		return answer{Err: err}
	}
	defer func() { _ = response.Body.Close() }()
	read, err := io.ReadAll(response.Body)
	return answer{Status: response.StatusCode, Header: response.Header, Body: string(read), Err: err}
}
