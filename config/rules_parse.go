package config

import (
	"errors"
	"slices"
	"strings"
	"time"

	"gopkg.in/ini.v1"

	"github.com/quetzalshed/quetzalshed/findings"
	"github.com/quetzalshed/quetzalshed/settings"
	"github.com/quetzalshed/quetzalshed/structs"
)

// Name prefixes of the sections of services and teams.
const (
	servicePrefix = "service "
	teamPrefix    = "team "
	// defaultTeam is the team name of the section whose quota applies to teams without a section.
	defaultTeam = "*"
)

// ParsedRules is a rules file with the locations of its keys.
type ParsedRules struct {
	Rules  *Rules
	Source []byte

	file *settings.File
	// rackNames holds racks_without_batch as written in the file, before names are resolved.
	rackNames []string
}

type clusterSection struct {
	Shards         int           `ini:"shards" default:"1" min:"1" max:"1024"`
	StartFreshness time.Duration `ini:"start_freshness" default:"3s" min:"500ms" max:"5s"`
	TaskLease      time.Duration `ini:"task_lease" default:"4s" min:"1s" max:"1m"`
	OwnerValidity  time.Duration `ini:"owner_validity" default:"30s" min:"1s" max:"1h"`
	ServiceLease   time.Duration `ini:"service_lease" default:"10m" min:"10s" max:"24h"`
}

type batchSection struct {
	RacksWithoutBatch []string `ini:"racks_without_batch" default:""`
}

type guardSection struct {
	Enabled       bool          `ini:"enabled" default:"true"`
	ThrottleAt    float64       `ini:"throttle_at" default:"0.85" min:"0.1" max:"2"`
	ResumeAt      float64       `ini:"resume_at" default:"0.7" min:"0.05" max:"2"`
	EvictAt       float64       `ini:"evict_at" default:"1" min:"0.1" max:"4"`
	EvictAfter    time.Duration `ini:"evict_after" default:"3s" min:"0s" max:"5m"`
	MemoryEvictAt float64       `ini:"memory_evict_at" default:"0.95" min:"0.1" max:"1"`
}

type interferenceSection struct {
	MaxSlowdown      float64 `ini:"max_slowdown" default:"1.25" min:"1" max:"10"`
	ExplorationTasks int     `ini:"exploration_tasks" default:"2" min:"1" max:"1000"`
}

type sizingSection struct {
	Percentile float64 `ini:"percentile" default:"0.95" min:"0.5" max:"1"`
	Headroom   float64 `ini:"headroom" default:"0.15" min:"0" max:"4"`
}

type serviceSection struct {
	Before         []string      `ini:"before" default:""`
	LatencyTarget  time.Duration `ini:"latency_target" default:"250ms" min:"1ms" max:"1m"`
	FailureDomains []string      `ini:"failure_domains" default:""`
	SpreadDomains  int           `ini:"spread_domains" default:"1" min:"1" max:"24"`
}

type teamSection struct {
	Cores        float64 `ini:"cores" min:"0" max:"1000000"`
	MemoryMB     int64   `ini:"memory_mb" min:"0" max:"1000000000000"`
	Accelerators int64   `ini:"accelerators" default:"0" min:"0" max:"1000000"`
}

// ParseRules parses and validates a rules file. It returns either the rules or all findings, which refer to the input
// as file. ParsedRules.Check validates the names of racks and failure domains.
func ParseRules(file string, raw []byte) (*ParsedRules, findings.List) {
	var found findings.List
	if len(raw) > MaxRulesBytes {
		found.Addf(findings.Location{File: file}, "the rules have %d bytes, and at most %d are allowed", len(raw), MaxRulesBytes)
		return nil, found
	}
	parsedFile, err := settings.Parse(file, raw)
	if err != nil {
		return nil, findingsFromError(file, err)
	}
	parsed := &ParsedRules{Rules: &Rules{}, Source: raw, file: parsedFile}
	parsed.decodeCluster()
	parsed.decodeThresholds()
	parsed.decodeServices()
	parsed.decodeTeams()
	if err := parsedFile.Err(); err != nil {
		return nil, limitFindings(file, parsed.addMissingLocations(findingsFromError(file, err)))
	}
	return parsed, found
}

// addMissingLocations adds the line of the section to findings about keys that aren't in the file, and replaces the
// finding about keys before the first section by one for each such key.
func (p *ParsedRules) addMissingLocations(found findings.List) findings.List {
	var located findings.List
	for _, finding := range found.Items() {
		location := p.location(finding.Location.Section, finding.Location.Key)
		if location.Section == ini.DefaultSection && location.Line == 0 {
			p.reportKeysBeforeSections(&located)
			continue
		}
		located.Addf(location, "%s", finding.Message)
	}
	return located
}

func (p *ParsedRules) reportKeysBeforeSections(found *findings.List) {
	location := p.file.Location("", "")
	for i, line := range strings.Split(string(p.Source), "\n") {
		line = strings.TrimSpace(line)
		if strings.HasPrefix(line, "[") {
			return
		}
		if line == "" || line[0] == '#' || line[0] == ';' {
			continue
		}
		key, _, _ := strings.Cut(line, "=")
		location.Line, location.Key = i+1, truncate(strings.TrimSpace(key))
		found.Addf(location, "key precedes the first section")
	}
}

// findingsFromError returns the findings of an error, or the error itself as one finding.
func findingsFromError(file string, err error) findings.List {
	var found findings.List
	var invalid *findings.Error
	if !errors.As(err, &invalid) {
		found.Addf(findings.Location{File: file}, "%v", err)
		return found
	}
	for _, finding := range invalid.Findings {
		found.Addf(finding.Location, "%s", finding.Message)
	}
	return found
}

func (p *ParsedRules) addf(section, key, format string, args ...any) {
	p.file.Found().Addf(p.location(section, key), format, args...)
}

// location returns the location of a key, with the line of its section when the key isn't in the file.
func (p *ParsedRules) location(section, key string) findings.Location {
	location := p.file.Location(section, key)
	if location.Line == 0 && section != "" {
		location.Line = p.file.Location(section, "").Line
	}
	return location
}

func (p *ParsedRules) decodeCluster() {
	var cluster clusterSection
	p.file.Decode("cluster", &cluster)
	p.Rules.Shards = cluster.Shards
	p.Rules.StartFreshness = cluster.StartFreshness
	p.Rules.TaskLease = cluster.TaskLease
	p.Rules.OwnerValidity = cluster.OwnerValidity
	p.Rules.ServiceLease = cluster.ServiceLease
	if cluster.OwnerValidity < cluster.TaskLease {
		p.addf("cluster", "owner_validity", "owner_validity %s is below task_lease %s", cluster.OwnerValidity, cluster.TaskLease)
	}
	if cluster.ServiceLease < cluster.TaskLease {
		p.addf("cluster", "service_lease", "service_lease %s is below task_lease %s", cluster.ServiceLease, cluster.TaskLease)
	}
	var batch batchSection
	p.file.Decode("batch", &batch)
	p.rackNames = batch.RacksWithoutBatch
}

func (p *ParsedRules) decodeThresholds() {
	var guard guardSection
	p.file.Decode("guard", &guard)
	p.Rules.Guard = Guard(guard)
	if guard.ResumeAt >= guard.ThrottleAt {
		p.addf("guard", "resume_at", "resume_at %g must be below throttle_at %g", guard.ResumeAt, guard.ThrottleAt)
	}
	if guard.ThrottleAt > guard.EvictAt {
		p.addf("guard", "evict_at", "evict_at %g must not be below throttle_at %g", guard.EvictAt, guard.ThrottleAt)
	}
	var interference interferenceSection
	p.file.Decode("interference", &interference)
	p.Rules.Interference = Interference(interference)
	var sizing sizingSection
	p.file.Decode("sizing", &sizing)
	p.Rules.Sizing = Sizing(sizing)
}

// namedSections validates the names of the sections with a prefix and returns at most limit of them, without the
// prefix.
func (p *ParsedRules) namedSections(prefix string, limit int, check func(name string) string) []string {
	var names []string
	sections := p.file.Sections(prefix)
	for i, section := range sections {
		name := strings.TrimPrefix(section, prefix)
		if i >= limit {
			p.addf(section, "", "there are %d sections [%s...], and at most %d are allowed", len(sections), prefix, limit)
			break
		}
		if message := check(name); message != "" {
			p.addf(section, "", "%s", message)
		}
		names = append(names, name)
	}
	return names
}

func (p *ParsedRules) decodeServices() {
	names := p.namedSections(servicePrefix, MaxServices, func(name string) string { return checkName(name, maxNameBytes) })
	order := newPrecedence(names)
	for _, name := range names {
		section := servicePrefix + name
		var decoded serviceSection
		p.file.Decode(section, &decoded)
		p.Rules.Services = append(p.Rules.Services, Service{
			Name: name, LatencyTarget: decoded.LatencyTarget, FailureDomains: decoded.FailureDomains,
			SpreadDomains: decoded.SpreadDomains,
		})
		for _, successor := range decoded.Before {
			if message := order.add(name, successor); message != "" {
				p.addf(section, "before", "%s", message)
			}
		}
		p.checkServiceDomains(section, decoded)
	}
	ranks, cycle := order.topologicalRanks()
	if cycle != nil {
		p.addf(servicePrefix+cycle[0], "before", "precedence is cyclic: %s", strings.Join(cycle, " before "))
		return
	}
	slices.SortFunc(p.Rules.Services, func(a, b Service) int { return ranks[a.Name] - ranks[b.Name] })
}

func (p *ParsedRules) checkServiceDomains(section string, decoded serviceSection) {
	for i, domain := range decoded.FailureDomains {
		if slices.Contains(decoded.FailureDomains[:i], domain) {
			p.addf(section, "failure_domains", "failure domain %q is given more than once", truncate(domain))
		}
	}
	if count := len(decoded.FailureDomains); count > 0 && decoded.SpreadDomains > count {
		p.addf(section, "spread_domains", "spread_domains %d contradicts failure_domains, which has %d",
			decoded.SpreadDomains, count)
	}
}

func (p *ParsedRules) decodeTeams() {
	names := p.namedSections(teamPrefix, MaxTeams, func(name string) string {
		if name == defaultTeam {
			return ""
		}
		return checkName(name, maxNameBytes)
	})
	for _, name := range names {
		var decoded teamSection
		p.file.Decode(teamPrefix+name, &decoded)
		quota := structs.Resources{
			MilliCores: int64(decoded.Cores*milliCoresPerCore + 0.5), MemoryMB: decoded.MemoryMB,
			Accelerators: decoded.Accelerators,
		}
		if name == defaultTeam {
			p.Rules.DefaultQuota = &quota
			continue
		}
		if p.Rules.Quotas == nil {
			p.Rules.Quotas = map[string]structs.Resources{}
		}
		p.Rules.Quotas[name] = quota
	}
}
