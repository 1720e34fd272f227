package static

import (
	"fmt"
	"strings"
	"time"

	"github.com/figfront/figfront/internal/config/inifile"
)

// VM holds the settings of section [vm], which all processes of a VM have.
type VM struct {
	// Name is the VM's name in the platform's list.
	Name string
	// Zone is the name of the VM's availability zone.
	Zone string
	// LogLevel is the lowest level that is logged: trace, debug, info, warn or
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

// Endpoints are the addresses that figfront-gateway, figfront-agent and
// figfront-admin have in common.
type Endpoints struct {
	// Listen is the address of the process's main server. The gateway serves callers
	// there, admin serves operators, and the agent serves other processes.
	Listen string
	// Operators is the address that serves health, readiness and counters.
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

// Limits protect a listener against slow callers and oversized requests.
type Limits struct {
	// MaxHeaderBytes limits the size of a request's header, in bytes.
	MaxHeaderBytes int
	// HeaderTimeout limits the time to read a request's header.
	HeaderTimeout time.Duration
	// IdleTimeout is the time after which a connection without a request is closed.
	IdleTimeout time.Duration
	// MaxConnections limits the number of open connections.
	MaxConnections int
	// Cores is the processor time available to the process, in cores; 0 means one.
	Cores float64
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
	// MaxCalls limits the concurrent calls of all teams together.
	MaxCalls int
	// BodyMemoryMB limits the memory for the bodies of all lookups and bookings together, in megabytes.
	BodyMemoryMB int
	// StopLag is how long the platform's balancer may keep sending new calls after
	// the process reports that it is not ready.
	StopLag time.Duration
	// StopTimeout limits how long a graceful shutdown waits for running calls.
	StopTimeout time.Duration
	// SubsetSize limits how many upstreams of each service this VM uses; 0 means
	// all.
	SubsetSize int
}

// LoadGateway reads the settings of figfront-gateway from the file at path. It
// returns inifile.Faults if they are invalid.
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
	section.Int("body_memory_mb", &g.BodyMemoryMB, 256, 1, 1<<20)
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
	// FeedInterval is the interval at which the configuration feed is read.
	FeedInterval time.Duration
	// HeartbeatInterval is the interval at which heartbeats are sent to peers.
	HeartbeatInterval time.Duration
	// ProbesPerSecond limits the probes that the VM sends to all upstreams together.
	ProbesPerSecond int
}

// LoadAgent reads the settings of figfront-agent from the file at path. It returns
// inifile.Faults if they are invalid.
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

// Token is the hash of a bearer token that grants access to a team's settings.
type Token struct {
	Team string
	// SHA256 is the token's SHA-256 hash in lower-case hexadecimal.
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

// LoadAdmin reads the settings of figfront-admin from the file at path. It returns
// inifile.Faults if they are invalid.
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

// sha256HexLen is the length of a SHA-256 hash in hexadecimal digits.
const sha256HexLen = 64

// readTokens reads the section [tokens], whose keys are team names. Its faults don't
// contain the values.
func readTokens(section *inifile.Section) []Token {
	var tokens []Token
	for _, team := range section.Keys() {
		hash := section.Raw(team)
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
