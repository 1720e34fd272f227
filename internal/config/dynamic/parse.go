package dynamic

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/figfront/figfront/internal/config/inifile"
)

// Defaults and bounds of the team settings. Body sizes are in bytes, and
// maxPathPrefix is a length in bytes; connections, slots, concurrency and queue
// lengths are counts.
const (
	defaultLookupDeadline  = 800 * time.Millisecond
	defaultBookingDeadline = 5 * time.Second
	defaultUploadDeadline  = 5 * time.Minute
	minDeadline            = 10 * time.Millisecond
	maxDeadline            = 30 * time.Minute

	defaultConcurrency = 256
	maxConcurrency     = 10000
	defaultQueue       = 128
	maxQueue           = 10000

	defaultLookupBody  = 64 << 10
	defaultBookingBody = 1 << 20
	defaultUploadBody  = 256 << 20
	maxBody            = 4 << 30

	defaultRetryShare = 0.05
	maxRetryShare     = 0.10

	defaultSlots          = 2
	maxSlots              = 1024
	defaultMaxConnections = 8
	maxMaxConnections     = 256

	maxServices            = 200
	maxUpstreamsPerService = 2000
	maxPathPrefix          = 512
)

// TeamPath returns the path that all section names of a team's settings start with.
func TeamPath(team string) string {
	return "/teams/" + team
}

// Parse reads the settings of one team from INI text; name is the file name used in
// faults. It returns inifile.Faults with all faults if the settings are invalid.
func Parse(name, team string, content []byte) (*Team, error) {
	file, err := inifile.Parse(name, content)
	if err != nil {
		return nil, err
	}
	p := parser{file: file, team: &Team{Name: team}}
	p.readTeam()
	if err := file.Finish(); err != nil {
		return nil, err
	}
	return p.team, nil
}

// parser builds a Team from a settings file and records faults in the file.
type parser struct {
	file *inifile.File
	team *Team
}

// sectionPath is a parsed section name: services/<service>, optionally followed by
// /<part>/<name>.
type sectionPath struct {
	service string
	// part is partTraffic, partUpstreams or empty for the service's own section.
	part string
	// name is the kind of traffic or the upstream's name.
	name string
}

// Parts of a service that have sections of their own.
const (
	partTraffic   = "traffic"
	partUpstreams = "upstreams"
)

// readTeam groups the sections by service and reads the services in the order of
// their section names.
func (p *parser) readTeam() {
	paths := map[string][]sectionPath{}
	var order []string
	for _, section := range p.file.Sections() {
		path, ok := p.parseSectionPath(section)
		if !ok {
			continue
		}
		if _, seen := paths[path.service]; !seen {
			order = append(order, path.service)
		}
		paths[path.service] = append(paths[path.service], path)
	}
	if len(order) > maxServices {
		p.file.AddFault(TeamPath(p.team.Name), "", "", fmt.Sprintf("at most %d services", maxServices))
		return
	}
	for _, service := range order {
		p.readService(service, paths[service])
	}
}

// parseSectionPath parses a section name. It records a fault and returns false if the
// name is not a valid path of this team.
func (p *parser) parseSectionPath(section string) (sectionPath, bool) {
	prefix := TeamPath(p.team.Name) + "/services/"
	rest, ok := strings.CutPrefix(section, prefix)
	if !ok {
		p.file.AddFault(section, "", "", "only paths below "+prefix)
		p.markDeclared(section)
		return sectionPath{}, false
	}
	fields := strings.Split(rest, "/")
	isService := len(fields) == 1
	isPart := len(fields) == 3 && (fields[1] == partTraffic || fields[1] == partUpstreams)
	if !isService && !isPart {
		p.file.AddFault(section, "", "", prefix+"<service>, …/traffic/<kind> or …/upstreams/<upstream>")
		p.markDeclared(section)
		return sectionPath{}, false
	}
	path := sectionPath{service: fields[0]}
	if isPart {
		path.part = fields[1]
		path.name = fields[2]
	}
	if !inifile.IsName(path.service) || (isPart && !inifile.IsName(path.name)) {
		p.file.AddFault(section, "", "", "names of a-z, 0-9 and -, at most 63 long")
		p.markDeclared(section)
		return sectionPath{}, false
	}
	return path, true
}

// markDeclared declares a section and all its keys. It is called for a section that
// already has a fault, which File.Finish must not report as unknown in addition.
func (p *parser) markDeclared(section string) {
	s := p.file.Section(section)
	for _, key := range s.Keys() {
		s.Raw(key)
	}
}

// servicePath returns the section name of a service.
func (p *parser) servicePath(service string) string {
	return TeamPath(p.team.Name) + "/services/" + service
}

// readService reads a service and the sections that belong to it. The service's own
// section may be missing; all its keys have defaults.
func (p *parser) readService(name string, paths []sectionPath) {
	service := Service{Name: name}
	section := p.file.Section(p.servicePath(name))
	section.Float("retry_share", &service.RetryShare, defaultRetryShare, 0, maxRetryShare)
	section.String("health_path", &service.HealthPath, "", maxPathPrefix)
	if service.HealthPath != "" && !strings.HasPrefix(service.HealthPath, "/") {
		section.Fault("health_path", service.HealthPath, "a path that starts with /")
	}
	for _, path := range paths {
		switch path.part {
		case partTraffic:
			p.readRule(&service, path)
		case partUpstreams:
			p.readUpstream(&service, path)
		}
	}
	p.checkService(section, &service)
	p.team.Services = append(p.team.Services, service)
}

// checkService records faults of a service as a whole and sorts its rules by falling
// length of the path prefix, so that the longest match comes first.
func (p *parser) checkService(section *inifile.Section, service *Service) {
	if len(service.Rules) == 0 {
		section.Fault("", "", "at least one of …/traffic/lookup, …/traffic/booking, …/traffic/upload")
	}
	if len(service.Upstreams) > maxUpstreamsPerService {
		section.Fault("", "", fmt.Sprintf("at most %d upstreams", maxUpstreamsPerService))
	}
	slices.SortFunc(service.Rules, func(a, b Rule) int {
		return len(b.PathPrefix) - len(a.PathPrefix)
	})
}

// ruleDefaults are the defaults of a rule that depend on the kind of traffic.
type ruleDefaults struct {
	methods  []string
	deadline time.Duration
	// body is the maximum size of a request body, in bytes.
	body  int
	hedge bool
	park  bool
}

func defaultsOf(traffic Traffic) ruleDefaults {
	switch traffic {
	case Booking:
		return ruleDefaults{
			methods:  []string{"POST", "DELETE", "PATCH"},
			deadline: defaultBookingDeadline,
			body:     defaultBookingBody,
		}
	case Upload:
		return ruleDefaults{
			methods:  []string{"PUT"},
			deadline: defaultUploadDeadline,
			body:     defaultUploadBody,
			park:     true,
		}
	default:
		return ruleDefaults{
			methods:  []string{"GET", "HEAD", "OPTIONS"},
			deadline: defaultLookupDeadline,
			body:     defaultLookupBody,
			hedge:    true,
		}
	}
}

// readRule reads a traffic section into a rule of the service.
func (p *parser) readRule(service *Service, path sectionPath) {
	section := p.file.Section(p.servicePath(path.service) + "/" + partTraffic + "/" + path.name)
	traffic := Traffic(path.name)
	if !slices.Contains(TrafficKinds(), traffic) {
		section.Fault("", path.name, "traffic of kind lookup, booking or upload")
		p.markDeclared(section.Name())
		return
	}
	defaults := defaultsOf(traffic)
	rule := Rule{Traffic: traffic}
	section.Words("methods", &rule.Methods, defaults.methods, "GET", "HEAD", "OPTIONS", "POST", "PUT", "PATCH", "DELETE")
	section.String("path_prefix", &rule.PathPrefix, "/", maxPathPrefix)
	section.Duration("deadline", &rule.Deadline, defaults.deadline, minDeadline, maxDeadline)
	section.Int("concurrency", &rule.Concurrency, defaultConcurrency, 1, maxConcurrency)
	section.Int("queue", &rule.Queue, defaultQueue, 0, maxQueue)
	section.Int("max_body", &rule.MaxBody, defaults.body, 0, maxBody)
	section.Bool("hedge", &rule.Hedge, defaults.hedge)
	section.Bool("park", &rule.Park, defaults.park)
	checkRule(section, &rule)
	service.Rules = append(service.Rules, rule)
}

// checkRule records faults of values that are not allowed for the rule's kind of
// traffic.
func checkRule(section *inifile.Section, rule *Rule) {
	if !strings.HasPrefix(rule.PathPrefix, "/") {
		section.Fault("path_prefix", rule.PathPrefix, "a path that starts with /")
	}
	if rule.Hedge && rule.Traffic != Lookup {
		section.Fault("hedge", "true", "false: only lookups may be sent twice")
	}
	if rule.Park && rule.Traffic != Upload {
		section.Fault("park", "true", "false: only uploads may be parked")
	}
	if rule.Traffic != Lookup {
		return
	}
	for _, method := range rule.Methods {
		if method != "GET" && method != "HEAD" && method != "OPTIONS" {
			section.Fault("methods", method, "GET, HEAD and OPTIONS for lookups, which may be sent twice")
		}
	}
}

// readUpstream reads an upstream section into an upstream of the service.
func (p *parser) readUpstream(service *Service, path sectionPath) {
	section := p.file.Section(p.servicePath(path.service) + "/" + partUpstreams + "/" + path.name)
	upstream := Upstream{Name: path.name}
	section.RequiredAddress("address", &upstream.Address)
	section.RequiredName("zone", &upstream.Zone)
	section.Int("slots", &upstream.Slots, defaultSlots, 1, maxSlots)
	section.Int("max_connections", &upstream.MaxConnections, defaultMaxConnections, 1, maxMaxConnections)
	service.Upstreams = append(service.Upstreams, upstream)
}
