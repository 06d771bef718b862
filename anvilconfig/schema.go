package anvilconfig

import (
	"net/netip"
	"time"

	"anvilbridge/anvilmodel"
)

// Sections of the format.
const (
	sectionDomains  = "failure-domains"
	sectionSlots    = "entry-slots"
	sectionServices = "services"
	sectionLeafs    = "leafs"
	sectionClasses  = "classes"
	sectionPolicy   = "policy"
	sectionLimits   = "limits"
	keySites        = "sites"
	keySite         = "site"
)

// Priorities of idempotent classes that state none.
const (
	patientPriority = 10
	broadPriority   = 20
	urgentPriority  = 30
)

// What nodes of different sites must agree on is shared. Dispatching nodes
// divide the connections and the cold concurrency of a leaf without talking to
// each other, so services, entry slots and the leaf group size are shared; a
// failure domain that is out must be out for all; and a node in it counts the
// address lifetime that another node stated.

var domainFields = []field[FailureDomain]{
	name("region", func(d *FailureDomain) *string { return &d.Region }).share(),
	choice("state", []DomainState{DomainInService, DomainOutOfService}, func(d *FailureDomain) *DomainState { return &d.State }).share(),
}

var slotFields = []field[EntrySlot]{
	name("failure-domain", func(e *EntrySlot) *anvilmodel.FailureDomain { return &e.FailureDomain }).need().share(),
}

// Each of the three candidates may open a third of the connections, so a leaf
// with fewer than three would get none from any of them.
const minConnections = 3

var serviceFields = []field[Service]{
	integer("slots", 1, 1024, func(s *Service) *int { return &s.Slots }).need().share(),
	integer("connections", minConnections, 65535, func(s *Service) *int { return &s.Connections }).need().share(),
	integer("cold-concurrency", 1, 1024, func(s *Service) *int { return &s.ColdConcurrency }).share(),
	duration("cold-duration", 0, time.Hour, func(s *Service) *time.Duration { return &s.ColdDuration }).share(),
	duration("connect-time", 0, 10*time.Second, func(s *Service) *time.Duration { return &s.ConnectTime }).share(),
}

var leafFields = []field[anvilmodel.Leaf]{
	addressPort("address", func(l *anvilmodel.Leaf) *netip.AddrPort { return &l.Address }).need().share(),
	name("failure-domain", func(l *anvilmodel.Leaf) *anvilmodel.FailureDomain { return &l.FailureDomain }).need().share(),
}

var modes = []anvilmodel.Mode{anvilmodel.ModeBroad, anvilmodel.ModeUrgent, anvilmodel.ModePatient}

var classFields = []field[RequestClass]{
	choice("mode", modes, func(c *RequestClass) *anvilmodel.Mode { return &c.Class.Mode }).need(),
	integer("priority", 1, 100, func(c *RequestClass) *int { return &c.Class.Priority }),
	duration("timeout", time.Millisecond, time.Minute, func(c *RequestClass) *time.Duration { return &c.Class.Timeout }).need(),
	ratio("coverage-floor", 0, 1, func(c *RequestClass) *float64 { return &c.Class.CoverageFloor }),
	duration("return-reserve", 0, time.Second, func(c *RequestClass) *time.Duration { return &c.Class.ReturnReserve }),
	flag("non-idempotent", func(c *RequestClass) *bool { return &c.Class.NonIdempotent }).share(),
	names("services", func(c *RequestClass) *[]anvilmodel.ServiceName { return &c.Services }),
}

var policyFields = []field[Policy]{
	ratio("hedge-quantile", 0.5, 0.999, func(p *Policy) *float64 { return &p.HedgeQuantile }),
	ratio("hedge-budget", 0, 1, func(p *Policy) *float64 { return &p.HedgeBudget }),
	ratio("retry-budget", 0, 1, func(p *Policy) *float64 { return &p.RetryBudget }),
	integer("leaf-group-size", 1, 1024, func(p *Policy) *int { return &p.LeafGroupSize }).share(),
	integer("queue-per-slot", 1, 1024, func(p *Policy) *int { return &p.QueuePerSlot }),
	duration("cold-quiet-period", time.Millisecond, time.Hour, func(p *Policy) *time.Duration { return &p.ColdQuietPeriod }),
	duration("address-lifetime", 100*time.Millisecond, 5*time.Second, func(p *Policy) *time.Duration { return &p.AddressLifetime }).share(),
	duration("network-round-trip", 0, time.Second, func(p *Policy) *time.Duration { return &p.NetworkRoundTrip }),
}

var limitFields = []field[Limits]{
	integer("max-body-bytes", 1, 64<<20, func(l *Limits) *int { return &l.MaxBodyBytes }).share(),
}

// siteList is the list of sites in the base file.
type siteList struct {
	sites []SiteName
}

// siteChoice is the site in an overlay.
type siteChoice struct {
	site SiteName
}

var baseFields = []field[siteList]{
	names(keySites, func(s *siteList) *[]SiteName { return &s.sites }),
}

var overlayFields = []field[siteChoice]{
	name(keySite, func(s *siteChoice) *SiteName { return &s.site }),
}

func defaultDomain(name string) FailureDomain {
	return FailureDomain{
		Name:   anvilmodel.FailureDomain(name),
		Region: "main",
		State:  DomainInService,
	}
}

func defaultService(name string) Service {
	return Service{
		Name:            anvilmodel.ServiceName(name),
		ColdConcurrency: 1,
		ColdDuration:    30 * time.Second,
		ConnectTime:     6 * time.Millisecond,
	}
}

func defaultClass(name string) RequestClass {
	return RequestClass{
		Class: anvilmodel.Class{
			Name:          anvilmodel.ClassName(name),
			CoverageFloor: 1,
			ReturnReserve: 3 * time.Millisecond,
		},
	}
}

func defaultPriority(m anvilmodel.Mode) int {
	switch m {
	case anvilmodel.ModeUrgent:
		return urgentPriority
	case anvilmodel.ModeBroad:
		return broadPriority
	default:
		return patientPriority
	}
}

func defaultPolicy() Policy {
	return Policy{
		HedgeQuantile:    0.95,
		HedgeBudget:      0.05,
		RetryBudget:      0.10,
		LeafGroupSize:    8,
		QueuePerSlot:     4,
		AddressLifetime:  2 * time.Second,
		NetworkRoundTrip: 3 * time.Millisecond,
	}
}

func defaultLimits() Limits {
	return Limits{
		MaxBodyBytes: 1 << 20,
	}
}
