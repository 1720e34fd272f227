package process_test

import (
	"context"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/figfront/figfront/internal/config/static"
	"github.com/figfront/figfront/internal/pipenet"
	"github.com/figfront/figfront/internal/process"
)

// crowdConns is the number of connections that the server of a crowd accepts.
const crowdConns = 8

// withCrowdServer runs a test in a synctest bubble with a server that accepts crowdConns connections.
func withCrowdServer(t *testing.T, run func(g *WithT, s *testServer)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		s := &testServer{network: pipenet.New()}
		s.server = process.NewServer(http.HandlerFunc(s.serve), static.Limits{
			HeaderTimeout: time.Minute, IdleTimeout: time.Hour, MaxHeaderBytes: 32 << 10, MaxConnections: crowdConns,
		})
		listener := process.LimitConnections(s.network.Listen(address), crowdConns)
		go func() { _ = process.Serve(s.server, listener) }()
		run(NewWithT(t), s)
		_ = s.server.Close()
		time.Sleep(2 * time.Hour)
	})
}

// TestCrowdOfUnusedConnectionsKeepsNobodyOut guards against connections that fill the listener until a
// timeout: they send nothing, stop within a request, or stay idle after one.
func TestCrowdOfUnusedConnectionsKeepsNobodyOut(t *testing.T) {
	const patience = 4 * time.Second
	for name, sent := range map[string]string{
		"nothing":            "",
		"half a head":        "POST / HTTP/1.1\r\nHost:",
		"a body cut short":   "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\n1234",
		"an unended chunk":   "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n5\r\n1234",
		"a whole request":    "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\n1234",
		"a bodiless request": "GET / HTTP/1.1\r\nHost: h\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			withCrowdServer(t, func(g *WithT, s *testServer) {
				for range crowdConns {
					go s.keepOpen(sent)
				}
				time.Sleep(time.Second)
				client := &http.Client{Transport: &http.Transport{DialContext: s.network.Dial, DisableKeepAlives: true}, Timeout: patience}
				for range 3 * crowdConns {
					g.Expect(isServed(client, strings.NewReader("body"), 4)).To(BeTrue())
				}
			})
		})
	}
}

// keepOpen sends text on a new connection and reads what comes back until it is closed.
func (s *testServer) keepOpen(text string) {
	conn, err := s.network.Dial(context.Background(), "", address)
	if err != nil {
		return
	}
	_, _ = io.WriteString(conn, text)
	_, _ = io.Copy(io.Discard, conn)
}

// TestRunningCallsStayWhileACrowdComes opens connections while calls run on all others: these are answered.
func TestRunningCallsStayWhileACrowdComes(t *testing.T) {
	withCrowdServer(t, func(g *WithT, s *testServer) {
		var callers sync.WaitGroup
		for range crowdConns {
			callers.Go(func() {
				client := &http.Client{Transport: &http.Transport{DialContext: s.network.Dial, DisableKeepAlives: true}}
				g.Expect(isServed(client, strings.NewReader("body"), 4)).To(BeTrue())
			})
		}
		for range crowdConns {
			go s.keepOpen("")
		}
		callers.Wait()
	})
}
