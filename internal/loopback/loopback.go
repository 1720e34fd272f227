// Package loopback chooses addresses for processes that a test or a soak starts on one machine.
package loopback

import (
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
)

// ErrNoneFree means that something listens at all addresses of a host.
var ErrNoneFree = errors.New("loopback: no address is free")

// hostCount counts the hosts that this process was given.
var hostCount atomic.Uint32

// NextHost returns a loopback address for processes, as an IP. It differs from those of other
// calls and of other processes that run at the same time, and is not 127.0.0.1, from which
// outgoing connections are made.
func NextHost() string {
	const firstNet, nets, hosts = 64, 128, 250
	return fmt.Sprintf("127.%d.%d.%d", firstNet+os.Getpid()%nets, os.Getpid()/nets%hosts, hostCount.Add(1)%hosts+1)
}

const (
	// firstPort is the first port that is chosen, and portCount the number of them. They lie below
	// the ports that systems choose for connections and for listeners without one.
	firstPort = 20000
	portCount = 12000
	// dialTimeout limits the check whether something listens at an address.
	dialTimeout = time.Second
)

// portsChosen counts the ports that were chosen, from a random one on.
var portsChosen atomic.Uint32

func init() { portsChosen.Store(rand.Uint32N(portCount)) }

// FreeAddress returns a host:port at which nothing listens. It returns no address again before
// all others were returned. It opens no listener to find out: a process that is being started at
// the same moment would inherit it for a while, and keep the port.
func FreeAddress(host string) (string, error) {
	for range portCount {
		port := firstPort + portsChosen.Add(1)%portCount
		address := net.JoinHostPort(host, strconv.FormatUint(uint64(port), 10))
		if !isListening(address) {
			return address, nil
		}
	}
	return "", errors.Wrap(ErrNoneFree, host)
}

// isListening reports whether something accepts connections at an address.
func isListening(address string) bool {
	conn, err := net.DialTimeout("tcp", address, dialTimeout)
	if err != nil {
		return false
	}
	_ = conn.Close()
	return true
}
