package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/figfront/figfront/platform/sitetest"
)

// Figures of the callers.
const (
	callersPerVM = 4
	callTimeout  = 1500 * time.Millisecond
	// maxPause is the longest pause between two requests of a caller.
	maxPause = 40 * time.Millisecond
	// uploadBytes is the size of an upload's body.
	uploadBytes = 20 << 10
	// versionShare is the part of requests that look which version is in force.
	versionShare = 0.15
)

// caller sends one request after the other to one VM over a kept connection, until
// the run ends; it opens another one only when the VM has closed it.
type caller struct {
	run    *Run
	vm     *VM
	name   string
	random *rand.Rand
	client *http.Client
	sent   int
	// seenLife and seenVersion are the newest version that a process has served.
	seenLife    int
	seenVersion int
}

func newCaller(run *Run, vm *VM, number int, random *rand.Rand) *caller {
	return &caller{
		run: run, vm: vm, name: fmt.Sprintf("%s-%d", vm.Name, number), random: random,
		client: &http.Client{Transport: &http.Transport{MaxConnsPerHost: 1, MaxIdleConnsPerHost: 1}},
	}
}

// work sends requests until ctx ends.
func (c *caller) work(ctx context.Context) {
	defer c.client.CloseIdleConnections()
	for ctx.Err() == nil {
		if c.random.Float64() < versionShare {
			c.look()
		} else {
			c.call()
		}
		time.Sleep(time.Duration(c.random.Int64N(int64(maxPause))))
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

// send sends a request and records what came of it.
func (c *caller) send(kind sitetest.Kind, path, body string) sitetest.Response {
	c.sent++
	request := sitetest.Request{
		ID: fmt.Sprintf("%s-%d", c.name, c.sent), Kind: kind, Path: path, Body: body, Timeout: callTimeout,
	}
	c.run.ledger.Sent(request, c.vm)
	answer := sitetest.Send(context.Background(), c.client, c.vm.Front, request)
	c.run.ledger.Told(request.ID, answer)
	return answer
}

// look asks for a route of the newest version that was acknowledged. A process that
// has served a version never answers that there is none.
func (c *caller) look() {
	version, writtenAt := c.run.configs.newest()
	life := c.vm.Life()
	sentAt := time.Now()
	answer := c.send(sitetest.Safe, sitetest.VersionPath(version), "")
	isSame := life == c.vm.Life()
	if life != c.seenLife {
		c.seenLife, c.seenVersion = life, 0
	}
	switch {
	case !isSame:
	case answer.IsSuccess():
		c.seenVersion = max(c.seenVersion, version)
	case answer.Status == http.StatusNotFound && version <= c.seenVersion:
		c.run.ledger.Break("version never goes back", "", fmt.Sprintf("%s no longer knows version %d", c.vm.Name, version))
	case answer.Status == http.StatusNotFound && sentAt.Sub(writtenAt) > configBound && c.vm.isCalmSince(writtenAt.Add(-contactTime)):
		c.run.breakTimed("configuration in force", fmt.Sprintf("%s does not know version %d after %v",
			c.vm.Name, version, sentAt.Sub(writtenAt).Round(time.Millisecond)))
	}
}

// configs writes new versions of the configuration.
type configs struct {
	version   atomic.Int64
	writtenAt atomic.Int64
}

// newest returns the newest version and when it was acknowledged.
func (c *configs) newest() (int, time.Time) {
	return int(c.version.Load()), time.UnixMilli(c.writtenAt.Load())
}

// writeNext writes another version.
func (c *configs) writeNext(run *Run) error {
	version := int(c.version.Load()) + 1
	if err := sitetest.PutConfig(run.store, version, serviceName); err != nil {
		return err
	}
	c.writtenAt.Store(time.Now().UnixMilli())
	c.version.Store(int64(version))
	return nil
}
