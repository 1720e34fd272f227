package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/figfront/figfront/platform/sitetest"
)

// VMs that are stopped while servers hold requests in their queues.
const (
	// busyCallers is the number of callers with an open connection to the VM that is stopped first.
	busyCallers = 12
	// busyTimeout is the deadline of their requests, which is after the end of the process.
	busyTimeout = 2 * stopTimeout
	// lastBusySend is the time after the signal until which the requests are sent. A connection that is idle
	// for a second may be closed.
	lastBusySend = 700 * time.Millisecond
	// secondSignal is the time between two signals to the same process, and nextStop that until the next
	// VM gets one.
	secondSignal = 100 * time.Millisecond
	nextStop     = 500 * time.Millisecond
)

// busyStopFault is added to the selected kinds of a run with Options.BusyStops.
var busyStopFault = fault{"vms stop under busy servers", busyStop}

// busyStop stops a random VM and then the next one, while all servers hold what they get. Its end waits for the
// callers of the first one and checks what they got.
func busyStop(run *Run, random *rand.Rand) (func(), error) {
	if run.hasBusyStop.Swap(true) {
		return nil, nil
	}
	first := random.IntN(len(run.vms))
	v, next := run.vms[first], run.vms[(first+1)%len(run.vms)]
	series := random.Uint64()
	local := rand.New(rand.NewPCG(series, 1))
	clients := run.connectBusy(v, series)
	run.fleet.setRate(sitetest.Hold, 1)
	var stops, calls sync.WaitGroup
	signalledAt := time.Now()
	stops.Go(func() { run.stopAndRestart(v) })
	time.AfterFunc(secondSignal, func() { v.Signal(syscall.SIGTERM) })
	for n, client := range clients {
		wait := time.Duration(local.Int64N(int64(lastBusySend)))
		calls.Go(func() {
			time.Sleep(wait)
			kind := busyKinds[n%len(busyKinds)]
			run.callBusy(v, client, newBusyRequest(kind, fmt.Sprintf("busy-%d-%d", series, n)), signalledAt)
		})
	}
	stops.Go(func() {
		time.Sleep(nextStop)
		run.stopAndRestart(next)
	})
	return func() {
		calls.Wait()
		run.fleet.setRate(sitetest.Hold, 0)
		stops.Wait()
		run.hasBusyStop.Store(false)
	}, nil
}

// stopAndRestart stops a VM gracefully and starts it again.
func (run *Run) stopAndRestart(v *VM) {
	if !v.Stop() {
		run.addTimedViolation("planned stop", v.Name+" did not exit in time")
	}
	run.recordErr(v.Start())
}

// connectBusy returns clients with an open connection to a VM each.
func (run *Run) connectBusy(v *VM, series uint64) []*http.Client {
	clients := make([]*http.Client, busyCallers)
	var connected sync.WaitGroup
	for n := range clients {
		clients[n] = &http.Client{Transport: &http.Transport{MaxConnsPerHost: 1, MaxIdleConnsPerHost: 1}}
		connected.Go(func() {
			run.send(v, clients[n], sitetest.Request{
				ID: fmt.Sprintf("open-%d-%d", series, n), Kind: sitetest.Safe, Path: sitetest.Prefix(sitetest.Safe), Timeout: callTimeout,
			})
		})
	}
	connected.Wait()
	return clients
}

// busyKinds are the kinds of the callers' requests.
var busyKinds = []sitetest.Kind{sitetest.Safe, sitetest.Unsafe, sitetest.Upload}

func newBusyRequest(kind sitetest.Kind, id string) sitetest.Request {
	request := sitetest.Request{ID: id, Kind: kind, Path: sitetest.PatientPrefix(kind), Timeout: busyTimeout}
	if kind != sitetest.Safe {
		request.Body = strings.Repeat("b", uploadBytes)
	}
	return request
}

// callBusy sends a request to a VM that got a signal at a time. It is a violation if a server holds it and it
// gets no response, unless the VM had another fault after its two signals.
func (run *Run) callBusy(v *VM, client *http.Client, request sitetest.Request, signalledAt time.Time) {
	defer client.CloseIdleConnections()
	response := run.send(v, client, request)
	isFaultFree := v.isFaultFree(signalledAt.Add(2*secondSignal), time.Now())
	if isFaultFree && run.ledger.isHeldUnanswered(request.ID) {
		run.ledger.AddViolation("answered", request.ID, fmt.Sprintf("%s passed it on and closed its connection %v after the signal: %v",
			v.Name, time.Since(signalledAt).Round(time.Millisecond), response.Err))
	}
}

// send sends a request of a caller to a VM and records it.
func (run *Run) send(v *VM, client *http.Client, request sitetest.Request) sitetest.Response {
	run.ledger.Sent(request, v)
	response := sitetest.Send(context.Background(), client, v.ListenAddress, request)
	run.ledger.Finished(request.ID, response)
	return response
}
