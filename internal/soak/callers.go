package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/figfront/figfront/platform/sitetest"
)

// Load of the callers.
const (
	callTimeout = 1500 * time.Millisecond
	// maxThinkTime is the longest pause of a caller between two requests.
	maxThinkTime = 40 * time.Millisecond
	// uploadBytes is the size of an upload's body, in bytes.
	uploadBytes = 20 << 10
	// versionCheckShare is the share of requests that check the active configuration
	// version.
	versionCheckShare = 0.15
)

// caller sends requests to one VM, one at a time and over one persistent connection,
// until the run ends. It opens a new connection only after the VM has closed the old one.
type caller struct {
	run    *Run
	vm     *VM
	name   string
	random *rand.Rand
	client *http.Client
	sent   int
	// refused is the request that may be repeated; nil if there is none.
	refused *sitetest.Request
	// seenStart identifies a process of the VM by the value of VM.Starts, and seenVersion
	// is the newest version that this process has served.
	seenStart   int
	seenVersion int
}

func newCaller(run *Run, vm *VM, number int, random *rand.Rand) *caller {
	return &caller{
		run: run, vm: vm, name: fmt.Sprintf("%s-%d", vm.Name, number), random: random,
		client: &http.Client{Transport: &http.Transport{MaxConnsPerHost: 1, MaxIdleConnsPerHost: 1}},
	}
}

// sendUntilDone sends requests until ctx ends.
func (c *caller) sendUntilDone(ctx context.Context) {
	defer c.client.CloseIdleConnections()
	for ctx.Err() == nil {
		switch {
		case c.repeatsRefused():
			c.repeat()
		case c.random.Float64() < versionCheckShare:
			c.checkVersion()
		default:
			c.call()
		}
		time.Sleep(time.Duration(c.random.Int64N(int64(maxThinkTime))))
	}
}

// call sends a request of a random kind.
func (c *caller) call() {
	kinds := []sitetest.Kind{sitetest.Safe, sitetest.Unsafe, sitetest.Unsafe, sitetest.Upload}
	kind := kinds[c.random.IntN(len(kinds))]
	body := ""
	switch kind {
	case sitetest.Unsafe:
		body = "booking"
	case sitetest.Upload:
		body = strings.Repeat("u", uploadBytes)
	}
	c.send(kind, sitetest.Prefix(kind)+"x", body)
}

// send sends a new request.
func (c *caller) send(kind sitetest.Kind, path, body string) sitetest.Response {
	c.sent++
	return c.sendRequest(sitetest.Request{
		ID: fmt.Sprintf("%s-%d", c.name, c.sent), Kind: kind, Path: path, Body: body, Timeout: callTimeout,
	})
}

// sendRequest sends a request and records it and its response in the ledger.
func (c *caller) sendRequest(request sitetest.Request) sitetest.Response {
	c.run.ledger.Sent(request, c.vm)
	response := sitetest.Send(context.Background(), c.client, c.vm.ListenAddress, request)
	c.run.ledger.Finished(request.ID, response)
	c.keepRefused(request, response)
	return response
}

// checkVersion requests a route that exists since the newest acknowledged version. Status
// 404 is a violation if the process has served this version before. It is also a violation
// if the version was acknowledged more than configBound ago and the VM had no faults since
// recoveryTime before that. A response is ignored if the process was restarted in the
// meantime.
func (c *caller) checkVersion() {
	version, writtenAt := c.run.configs.newest()
	start := c.vm.Starts()
	sentAt := time.Now()
	response := c.send(sitetest.Safe, sitetest.VersionPath(version), "")
	isSameProcess := start == c.vm.Starts()
	if start != c.seenStart {
		c.seenStart, c.seenVersion = start, 0
	}
	switch {
	case !isSameProcess:
	case response.IsSuccess():
		c.seenVersion = max(c.seenVersion, version)
	case response.Status == http.StatusNotFound && version <= c.seenVersion:
		c.run.ledger.AddViolation("version never goes back", "", fmt.Sprintf("%s returned 404 for version %d, which it served before", c.vm.Name, version))
	case response.Status == http.StatusNotFound && sentAt.Sub(writtenAt) > configBound && c.vm.isFaultFreeSince(writtenAt.Add(-recoveryTime)):
		c.run.addTimedViolation("configuration in force", fmt.Sprintf("%s returned 404 for version %d %v after its commit",
			c.vm.Name, version, sentAt.Sub(writtenAt).Round(time.Millisecond)))
	}
}

// configs writes versions of the configuration. It is safe for concurrent use.
type configs struct {
	// mu is held while a version is written.
	mu      sync.Mutex
	version atomic.Int64
	// writtenAt is when the version was acknowledged, in Unix milliseconds.
	writtenAt atomic.Int64
}

// newest returns the newest acknowledged version and the time of its acknowledgement.
func (c *configs) newest() (int, time.Time) {
	return int(c.version.Load()), time.UnixMilli(c.writtenAt.Load())
}

// writeNext commits the next version to the store.
func (c *configs) writeNext(run *Run) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.writeLocked(run, int(c.version.Load())+1)
}

// writeAgain commits the newest version again, which the store has lost.
func (c *configs) writeAgain(run *Run) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.writeLocked(run, int(c.version.Load()))
}

func (c *configs) writeLocked(run *Run, version int) error {
	if err := sitetest.PutConfig(run.store, version, serviceName); err != nil {
		return err
	}
	c.writtenAt.Store(time.Now().UnixMilli())
	c.version.Store(int64(version))
	return nil
}
