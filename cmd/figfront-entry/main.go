// Command figfront-entry runs the load balancer of a whole site on one VM in one
// process.
package main

import (
	"os"

	"github.com/figfront/figfront/internal/config/static"
	"github.com/figfront/figfront/internal/entry"
	"github.com/figfront/figfront/internal/process"
	"github.com/figfront/figfront/platform"
)

const name = "figfront-entry"

func main() {
	os.Exit(process.Main(name, "Runs the load balancer of a whole site on one VM.", static.LoadEntry, entry.Run(name, adapter)))
}

// adapter returns the Adapter for the platform whose store is at settings.Store.
func adapter(settings *static.Entry) entry.Adapter {
	store := platform.NewStore(settings.Store, nil)
	return entry.Adapter{
		Eras:              store.Eras(),
		Configs:           store.Configs(),
		ConfigKey:         platform.ConfigKey,
		DecodeConfig:      platform.DecodeConfig,
		Upstreams:         store.Upstreams(),
		DecodeUpstream:    platform.DecodeUpstream,
		SetStoreAddress:   store.SetAddress,
		VMs:               store.VMs(),
		Suspects:          store.Suspects(),
		WriteSuspects:     store.WriteSuspects,
		InsertSuspect:     store.InsertSuspect,
		Announce:          store.Announce,
		DecodeVM:          platform.DecodeVM,
		CallerHandler:     platform.CallerHandler,
		UpstreamTransport: platform.UpstreamTransport,
		ReadyHandler:      platform.ReadyHandler,
	}
}
