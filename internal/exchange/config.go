package exchange

import (
	"bytes"
	"compress/gzip"
	"io"
	"sync"

	"github.com/go-faster/errors"
	"google.golang.org/protobuf/proto"

	api "github.com/figfront/figfront/api/exchange"
	"github.com/figfront/figfront/internal/config/inifile"
	"github.com/figfront/figfront/internal/config/merge"
)

// ToTeamConfig returns a configuration as it travels between processes; its
// settings are compressed.
func ToTeamConfig(c merge.Config) *api.TeamConfig {
	return &api.TeamConfig{
		Team: c.Team, Revision: c.Revision, ChangeId: c.ChangeID, Author: c.Author,
		CommittedUnixMs: c.CommittedUnixMS, Settings: compress(c.Settings),
	}
}

// FromTeamConfig returns the configuration that another process sent. It
// returns merge.ErrMalformed for settings that can't be decompressed or are
// larger than inifile.MaxBytes.
func FromTeamConfig(c *api.TeamConfig) (merge.Config, error) {
	settings, err := decompress(c.GetSettings())
	if err != nil {
		return merge.Config{}, err
	}
	return merge.Config{
		Team: c.GetTeam(), Revision: c.GetRevision(), ChangeID: c.GetChangeId(), Author: c.GetAuthor(),
		CommittedUnixMS: c.GetCommittedUnixMs(), Settings: settings,
	}, nil
}

// compressors holds idle gzip writers; a new one allocates hundreds of KB.
var compressors = sync.Pool{New: func() any { return gzip.NewWriter(io.Discard) }}

// compress returns the text in the format of gzip (RFC 1952).
func compress(text string) []byte {
	var buffer bytes.Buffer
	writer, ok := compressors.Get().(*gzip.Writer)
	if !ok {
		writer = gzip.NewWriter(io.Discard)
	}
	defer compressors.Put(writer)
	writer.Reset(&buffer)
	// A write to memory does not fail.
	_, _ = io.WriteString(writer, text)
	_ = writer.Close()
	return buffer.Bytes()
}

// decompress returns the text that compress was given.
func decompress(data []byte) (string, error) {
	reader, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return "", errors.Wrap(merge.ErrMalformed, err.Error())
	}
	text, err := io.ReadAll(io.LimitReader(reader, inifile.MaxBytes+1))
	if err != nil {
		return "", errors.Wrap(merge.ErrMalformed, err.Error())
	}
	if len(text) > inifile.MaxBytes {
		return "", errors.Wrap(merge.ErrMalformed, "settings above the limit")
	}
	return string(text), nil
}

// ConfigMessage returns the message of a configuration on a topic.
func ConfigMessage(topic string, c merge.Config) (*api.Message, error) {
	payload, err := proto.Marshal(ToTeamConfig(c))
	if err != nil {
		return nil, errors.Wrap(err, "encode configuration")
	}
	return &api.Message{Topic: topic, Key: c.Team, Revision: c.Revision, Payload: payload}, nil
}

// DecodeConfig reads a configuration that another process sent. It returns
// merge.ErrMalformed for one that breaks the bounds.
func DecodeConfig(payload []byte) (merge.Config, error) {
	var message api.TeamConfig
	if err := proto.Unmarshal(payload, &message); err != nil {
		return merge.Config{}, errors.Wrap(merge.ErrMalformed, err.Error())
	}
	c, err := FromTeamConfig(&message)
	if err != nil {
		return c, err
	}
	return c, c.Validate()
}
