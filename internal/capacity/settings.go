package capacity

import (
	"fmt"
	"strings"

	"github.com/figfront/figfront/internal/config/merge"
)

// Sizes of the two-year target.
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

// team returns a configuration of a team with the given numbers of services
// and of upstreams in each.
func team(number, services, upstreams int) merge.Config {
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

// addressesPerTeam is the number of addresses that a team may use.
const addressesPerTeam = 1 << 12

// upstreamAddress returns an address of its own for each upstream of each team.
func upstreamAddress(team, upstream int) string {
	n := team*addressesPerTeam + upstream
	return fmt.Sprintf("10.%d.%d.%d:8080", n>>16&0xff, n>>8&0xff, n&0xff)
}

// teams returns the configurations for about the given number of services, with
// the target's number of upstreams in each.
func teams(services int) []merge.Config {
	perService := (targetUpstreams + targetServices - 1) / targetServices
	configs := make([]merge.Config, 0, services/servicesPerTeam)
	for n := range services / servicesPerTeam {
		configs = append(configs, team(n, servicesPerTeam, perService))
	}
	return configs
}
