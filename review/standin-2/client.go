package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// answer is what a client has got.
type answer struct {
	// status is 0 if there was no answer; then err tells why.
	status int
	// isWhole means a success with the server's signature and whole body, isSigned any answer
	// with a server's signature.
	isWhole, isSigned bool
	took              time.Duration
	err               error
}

// clientConn is one connection of a client.
type clientConn struct {
	conn   net.Conn
	reader *bufio.Reader
}

// connectTimeout is how long clients allow a new connection.
const connectTimeout = time.Second

func dialClient(address string) (*clientConn, error) {
	conn, err := net.DialTimeout("tcp", address, connectTimeout)
	if err != nil {
		return nil, err
	}
	return &clientConn{conn: conn, reader: bufio.NewReader(conn)}, nil
}

// send sends a request on the connection and waits for its answer until the deadline.
func (c *clientConn) send(method, path, id, content string, deadline time.Duration) answer {
	began := time.Now()
	_ = c.conn.SetDeadline(began.Add(deadline))
	defer func() { _ = c.conn.SetDeadline(time.Time{}) }()
	length := ""
	if method == http.MethodPost {
		length = fmt.Sprintf("Content-Length: %d\r\n", len(content))
	}
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\n%s\r\n",
		method, path, siteHost, wire["requestID"], id, wire["deadline"], deadline.Milliseconds(), length)
	if _, err := io.WriteString(c.conn, head+content); err != nil {
		return answer{err: err, took: time.Since(began)}
	}
	return c.receive(method, id, began)
}

// receive waits for the answer to a request that was sent from began on.
func (c *clientConn) receive(method, id string, began time.Time) answer {
	response, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	if err != nil {
		return answer{err: err, took: time.Since(began)}
	}
	got, err := io.ReadAll(response.Body)
	_ = response.Body.Close()
	isSigned := response.Header.Get(wire["signature"]) == "signed-"+id
	isWhole := err == nil && response.StatusCode == http.StatusOK && isSigned && string(got) == body(id)
	return answer{status: response.StatusCode, isWhole: isWhole, isSigned: isSigned, took: time.Since(began), err: err}
}

// String describes the answer for the record.
func (a answer) String() string {
	if a.status == 0 {
		return fmt.Sprintf("no answer after %.3f s (%s)", a.took.Seconds(), strings.TrimSpace(fmt.Sprint(a.err)))
	}
	return fmt.Sprintf("%d after %.3f s, whole %v", a.status, a.took.Seconds(), a.isWhole)
}
