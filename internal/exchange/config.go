package exchange

import (
	"github.com/go-faster/errors"
	"google.golang.org/protobuf/proto"

	api "github.com/figfront/figfront/api/exchange"
	"github.com/figfront/figfront/internal/compressed"
	"github.com/figfront/figfront/internal/config/inifile"
	"github.com/figfront/figfront/internal/config/merge"
)

// ToTeamConfig returns the wire form of a configuration, with compressed settings.
func ToTeamConfig(c merge.Config) *api.TeamConfig {
	return &api.TeamConfig{
		Team: c.Team, Revision: c.Revision, ChangeId: c.ChangeID, Author: c.Author,
		CommittedUnixMs: c.CommittedUnixMS, Settings: compressed.Compress([]byte(c.Settings)),
	}
}

// FromTeamConfig decodes a configuration from another process. It returns
// merge.ErrMalformed when the settings can't be decompressed or are larger than
// inifile.MaxBytes.
func FromTeamConfig(c *api.TeamConfig) (merge.Config, error) {
	settings, err := compressed.Decompress(c.GetSettings(), inifile.MaxBytes)
	if err != nil {
		return merge.Config{}, errors.Wrap(merge.ErrMalformed, err.Error())
	}
	return merge.Config{
		Team: c.GetTeam(), Revision: c.GetRevision(), ChangeID: c.GetChangeId(), Author: c.GetAuthor(),
		CommittedUnixMS: c.GetCommittedUnixMs(), Settings: string(settings),
	}, nil
}

// ConfigMessage returns a message on topic with a configuration, keyed by its team.
func ConfigMessage(topic string, c merge.Config) (*api.Message, error) {
	payload, err := proto.Marshal(ToTeamConfig(c))
	if err != nil {
		return nil, errors.Wrap(err, "encode configuration")
	}
	return &api.Message{Topic: topic, Key: c.Team, Revision: c.Revision, Payload: payload}, nil
}

// DecodeConfig decodes and validates a configuration from another process. It returns
// merge.ErrMalformed when the payload can't be decoded or the configuration is
// invalid.
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
