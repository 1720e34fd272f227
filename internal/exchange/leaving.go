package exchange

import (
	"encoding/json"
	"time"

	"github.com/go-faster/errors"

	api "github.com/figfront/figfront/api/exchange"
)

// maxLeavingUpstreams limits the upstreams of one message.
const maxLeavingUpstreams = 1024

// errTooManyLeaving means that a message holds more than maxLeavingUpstreams.
var errTooManyLeaving = errors.New("exchange: too many leaving upstreams in one message")

// DrainNotice reports the leaving upstreams that one VM has detected.
type DrainNotice struct {
	// VM is the name of the VM that detected them.
	VM string `json:"vm"`
	// At is the time of the message.
	At        time.Time         `json:"at"`
	Upstreams []LeavingUpstream `json:"upstreams"`
}

// LeavingUpstream identifies an upstream of a service.
type LeavingUpstream struct {
	Team     string `json:"team"`
	Service  string `json:"service"`
	Upstream string `json:"upstream"`
}

// DrainNoticeMessage encodes l as a message keyed by its VM; the revision is l.At in
// nanoseconds since the Unix epoch.
func DrainNoticeMessage(l DrainNotice) (*api.Message, error) {
	payload, err := json.Marshal(l)
	if err != nil {
		return nil, errors.Wrap(err, "encode leaving upstreams")
	}
	revision := uint64(l.At.UnixNano())
	return &api.Message{Topic: TopicLeaving, Key: l.VM, Revision: revision, Payload: payload}, nil
}

// DecodeDrainNotice decodes the payload of a message of TopicLeaving. It returns an error
// when the payload is malformed or lists too many upstreams.
func DecodeDrainNotice(payload []byte) (DrainNotice, error) {
	var l DrainNotice
	if err := json.Unmarshal(payload, &l); err != nil {
		return DrainNotice{}, errors.Wrap(err, "decode leaving upstreams")
	}
	if len(l.Upstreams) > maxLeavingUpstreams {
		return DrainNotice{}, errTooManyLeaving
	}
	return l, nil
}
