package capacity

import (
	"fmt"
	"strings"

	"github.com/figfront/figfront/internal/config/merge"
)

// Sizes of the target, the deployment that is planned for in two years.
const (
	targetUpstreams = 8400
	targetServices  = 1100
	servicesPerTeam = 5
	zones           = 10
)

// teamName returns the name of the team with the given number.
func teamName(n int) string {
	return fmt.Sprintf("team-%04d", n)
}

// teamConfig returns the configuration of the team with the given number. It has the
// given number of services, each with the given number of upstreams.
func teamConfig(number, services, upstreams int) merge.Config {
	var b strings.Builder
	name := teamName(number)
	for s := range services {
		path := fmt.Sprintf("/teams/%s/services/service-%02d", name, s)
		fmt.Fprintf(&b, "[%s/traffic/lookup]\ndeadline = 800ms\n[%s/traffic/booking]\n", path, path)
		for u := range upstreams {
			fmt.Fprintf(&b, "[%s/upstreams/u-%03d]\naddress = %s\nzone = zone-%d\n",
				path, u, upstreamAddress(number, s*upstreams+u), u%zones)
		}
	}
	return merge.Config{
		Team: name, Revision: 1, ChangeID: name + "-1",
		Author: "capacity", CommittedUnixMS: 1_800_000_000_000, Settings: b.String(),
	}
}

// addressesPerTeam is the number of upstream addresses reserved for each team.
const addressesPerTeam = 1 << 12

// upstreamAddress returns a unique address for each upstream of each team.
func upstreamAddress(team, upstream int) string {
	n := team*addressesPerTeam + upstream
	return fmt.Sprintf("10.%d.%d.%d:8080", n>>16&0xff, n>>8&0xff, n&0xff)
}

// teamConfigs returns the configurations of as many teams as the given total number of
// services fills. Each service has the target's mean number of upstreams, rounded up.
func teamConfigs(services int) []merge.Config {
	perService := (targetUpstreams + targetServices - 1) / targetServices
	configs := make([]merge.Config, 0, services/servicesPerTeam)
	for n := range services / servicesPerTeam {
		configs = append(configs, teamConfig(n, servicesPerTeam, perService))
	}
	return configs
}
