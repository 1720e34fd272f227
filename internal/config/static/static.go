package static

import (
	"fmt"
	"strings"
	"time"

	"github.com/figfront/figfront/internal/config/inifile"
)

// VM is the part of the settings that every process of a VM shares.
type VM struct {
	// Name is the VM's name in the platform's list.
	Name string
	// Zone is the VM's availability zone.
	Zone string
	// LogLevel is the least level that is logged: trace, debug, info, warn or
	// error.
	LogLevel string
}

func readVM(file *inifile.File) VM {
	var vm VM
	section := file.Section("vm")
	section.RequiredName("name", &vm.Name)
	section.RequiredName("zone", &vm.Zone)
	section.OneOf("log_level", &vm.LogLevel, "info", "trace", "debug", "info", "warn", "error")
	return vm
}

// Endpoints are the addresses that every process has.
type Endpoints struct {
	// Listen is where the process serves: callers at the gateway, operators at
	// admin, other processes at the agent.
	Listen string
	// Operators is where health, readiness and counters are served.
	Operators string
	// Platform is the address of the platform's services.
	Platform string
}

func readEndpoints(section *inifile.Section) Endpoints {
	var e Endpoints
	section.RequiredAddress("listen", &e.Listen)
	section.RequiredAddress("operators", &e.Operators)
	section.RequiredAddress("platform", &e.Platform)
	return e
}

// Limits protect a listener against slow or oversized callers.
type Limits struct {
	// MaxHeaderBytes limits a request's header.
	MaxHeaderBytes int
	// HeaderTimeout limits the time to read a request's header.
	HeaderTimeout time.Duration
	// IdleTimeout closes a connection without a request.
	IdleTimeout time.Duration
	// MaxConnections limits the open connections.
	MaxConnections int
}

func readLimits(section *inifile.Section) Limits {
	var l Limits
	section.Int("max_header_bytes", &l.MaxHeaderBytes, 32<<10, 1<<10, 1<<20)
	section.Duration("header_timeout", &l.HeaderTimeout, 5*time.Second, 100*time.Millisecond, time.Minute)
	section.Duration("idle_timeout", &l.IdleTimeout, 60*time.Second, time.Second, 10*time.Minute)
	section.Int("max_connections", &l.MaxConnections, 4096, 1, 100000)
	return l
}

// Gateway holds the settings of figfront-gateway.
type Gateway struct {
	VM VM
	Endpoints
	// Agent is the address of this VM's agent.
	Agent  string
	Limits Limits
	// MaxCalls limits the calls of all teams at once.
	MaxCalls int
	// StopLag is the time that the platform's balancer may go on sending new
	// calls after the process said that it is not ready.
	StopLag time.Duration
	// StopTimeout is the longest time that a planned stop waits for calls.
	StopTimeout time.Duration
	// SubsetSize is the number of upstreams of a service that this VM uses; 0
	// means all.
	SubsetSize int
}

// LoadGateway reads the settings of figfront-gateway from path.
func LoadGateway(path string) (*Gateway, error) {
	file, err := inifile.Load(path)
	if err != nil {
		return nil, err
	}
	g := &Gateway{VM: readVM(file)}
	section := file.Section("gateway")
	g.Endpoints = readEndpoints(section)
	section.RequiredAddress("agent", &g.Agent)
	section.Int("max_calls", &g.MaxCalls, 4096, 1, 100000)
	section.Duration("stop_lag", &g.StopLag, 3*time.Second, 0, time.Minute)
	section.Duration("stop_timeout", &g.StopTimeout, 5*time.Minute, time.Second, time.Hour)
	section.Int("subset_size", &g.SubsetSize, 0, 0, 1000)
	g.Limits = readLimits(section)
	return g, file.Finish()
}

// Agent holds the settings of figfront-agent.
type Agent struct {
	VM VM
	Endpoints
	// FeedInterval is the time between two readings of the configuration feed.
	FeedInterval time.Duration
	// HeartbeatInterval is the time between two heartbeats to a peer.
	HeartbeatInterval time.Duration
	// ProbesPerSecond is the VM's whole budget for measuring upstreams.
	ProbesPerSecond int
}

// LoadAgent reads the settings of figfront-agent from path.
func LoadAgent(path string) (*Agent, error) {
	file, err := inifile.Load(path)
	if err != nil {
		return nil, err
	}
	a := &Agent{VM: readVM(file)}
	section := file.Section("agent")
	a.Endpoints = readEndpoints(section)
	section.Duration("feed_interval", &a.FeedInterval, time.Second, 100*time.Millisecond, 3*time.Second)
	section.Duration("heartbeat_interval", &a.HeartbeatInterval, time.Second, 100*time.Millisecond, 10*time.Second)
	section.Int("probes_per_second", &a.ProbesPerSecond, 10, 0, 1000)
	return a, file.Finish()
}

// Token is the hash of a team's bearer token.
type Token struct {
	Team string
	// SHA256 is the hash of the token in lower-case hexadecimal.
	SHA256 string
}

// Admin holds the settings of figfront-admin.
type Admin struct {
	VM VM
	Endpoints
	// Agent is the address of this VM's agent.
	Agent  string
	Limits Limits
	Tokens []Token
}

// LoadAdmin reads the settings of figfront-admin from path.
func LoadAdmin(path string) (*Admin, error) {
	file, err := inifile.Load(path)
	if err != nil {
		return nil, err
	}
	a := &Admin{VM: readVM(file)}
	section := file.Section("admin")
	a.Endpoints = readEndpoints(section)
	section.RequiredAddress("agent", &a.Agent)
	a.Limits = readLimits(section)
	a.Tokens = readTokens(file.Section("tokens"))
	return a, file.Finish()
}

// sha256HexLen is the length of a SHA-256 hash in hexadecimal.
const sha256HexLen = 64

func readTokens(section *inifile.Section) []Token {
	var tokens []Token
	for _, team := range section.Keys() {
		hash := section.Any(team)
		if !inifile.IsName(team) {
			section.Fault(team, "", "a team's name")
			continue
		}
		if len(hash) != sha256HexLen || strings.Trim(hash, "0123456789abcdef") != "" {
			section.Fault(team, "", fmt.Sprintf("a SHA-256 hash of %d hexadecimal digits", sha256HexLen))
			continue
		}
		tokens = append(tokens, Token{Team: team, SHA256: hash})
	}
	return tokens
}
