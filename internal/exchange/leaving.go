package exchange

import (
	"encoding/json"
	"time"

	"github.com/go-faster/errors"

	api "github.com/figfront/figfront/api/exchange"
)

// maxLeaving limits the upstreams of one message.
const maxLeaving = 1024

// errTooManyLeaving refuses a message above the limit.
var errTooManyLeaving = errors.New("exchange: too many leaving upstreams in one message")

// Leaving tells the VMs which upstreams one of them saw leaving.
type Leaving struct {
	// VM is the VM that saw it.
	VM string `json:"vm"`
	// At is the time of the message.
	At        time.Time         `json:"at"`
	Upstreams []LeavingUpstream `json:"upstreams"`
}

// LeavingUpstream names an upstream of a service.
type LeavingUpstream struct {
	Team     string `json:"team"`
	Service  string `json:"service"`
	Upstream string `json:"upstream"`
}

// LeavingMessage encodes l, keyed by its VM.
func LeavingMessage(l Leaving) (*api.Message, error) {
	payload, err := json.Marshal(l)
	if err != nil {
		return nil, errors.Wrap(err, "encode leaving upstreams")
	}
	revision := uint64(l.At.UnixNano())
	return &api.Message{Topic: TopicLeaving, Key: l.VM, Revision: revision, Payload: payload}, nil
}

// DecodeLeaving reads the payload of a message of TopicLeaving.
func DecodeLeaving(payload []byte) (Leaving, error) {
	var l Leaving
	if err := json.Unmarshal(payload, &l); err != nil {
		return Leaving{}, errors.Wrap(err, "decode leaving upstreams")
	}
	if len(l.Upstreams) > maxLeaving {
		return Leaving{}, errTooManyLeaving
	}
	return l, nil
}
