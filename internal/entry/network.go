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

// mbpsPerCore is the bandwidth, in megabits per second, that work for other VMs
// needs for each core that it uses.
const mbpsPerCore = 100

// capacity returns how much work the VM can do for other VMs, in cores. It is
// limited by the VM's cores or by its bandwidth, whichever is scarcer.
func capacity(settings *static.Entry) float64 {
	return min(settings.Cores, settings.LinkMbps/mbpsPerCore)
}
