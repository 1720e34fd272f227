package entry

import (
	"net"
	"slices"

	"github.com/figfront/figfront/internal/config/static"
	"github.com/figfront/figfront/internal/gateway"
)

// otherSeeds returns the seeds without this VM's own address.
func otherSeeds(settings *static.Entry) []string {
	return slices.DeleteFunc(slices.Clone(settings.Seeds), func(seed string) bool { return seed == settings.Exchange })
}

// upstreamDialer returns a function that opens connections to upstreams from a local IP
// address; nil if the system chooses that.
func upstreamDialer(source string) gateway.DialFunc {
	if source == "" {
		return nil
	}
	dialer := &net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(source)}}
	return dialer.DialContext
}
