package soak

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"sync/atomic"

	"github.com/figfront/figfront/platform/sitetest"
)

// Size of a crowd and of its requests.
const (
	crowdSize = 40
	// crowdBytes is as long as the configuration allows a body to be.
	crowdBytes = 1 << 20
)

// unendedRequests are what the callers of a crowd send.
var unendedRequests = []sitetest.Unended{
	{Announced: crowdBytes, Sent: crowdBytes - 1, PieceBytes: 64 << 10},
	{Announced: crowdBytes},
	{Announced: -1, Sent: crowdBytes, PieceBytes: 64 << 10},
	{Announced: -1, Sent: crowdBytes / 16, PieceBytes: 1},
	{Announced: -1, Sent: 4 * crowdBytes, PieceBytes: 64 << 10},
	{Announced: 4 * crowdBytes, Sent: crowdBytes, PieceBytes: 64 << 10},
}

// crowdFaults are added to the selected kinds of a run with Options.Crowds.
var crowdFaults = []fault{
	{"callers stop within a body", crowd},
	{"servers cut an answer before the body", serverBehavior(sitetest.CutEarly)},
}

// crowdCount counts the crowds, so that the IDs of their requests differ.
var crowdCount atomic.Int64

// crowd sends requests to a random VM that stop before their end. Their connections are open until its end.
// The ledger knows none of them: a server that runs one breaks a promise.
func crowd(run *Run, random *rand.Rand) (func(), error) {
	v := run.vms[random.IntN(len(run.vms))]
	kinds := []sitetest.Kind{sitetest.Safe, sitetest.Unsafe, sitetest.Upload}
	number := crowdCount.Add(1)
	var conns []net.Conn
	for i := range crowdSize {
		conn, err := net.Dial("tcp", v.ListenAddress)
		if err != nil {
			continue
		}
		conns = append(conns, conn)
		request := unendedRequests[random.IntN(len(unendedRequests))]
		request.ID = fmt.Sprintf("crowd-%d-%d", number, i)
		request.Path = sitetest.Prefix(kinds[random.IntN(len(kinds))]) + "x"
		go func() {
			_ = request.Send(conn)
			_, _ = io.Copy(io.Discard, conn)
		}()
	}
	return func() {
		for _, conn := range conns {
			_ = conn.Close()
		}
	}, nil
}
