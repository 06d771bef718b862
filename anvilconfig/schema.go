package anvilconfig

import (
	"net/netip"
	"time"

	"anvilbridge/anvilmodel"
)

// Sections of the format.
const (
	sectionFailureDomains = "failure-domains"
	sectionEntrySlots     = "entry-slots"
	sectionServices       = "services"
	sectionLeaves         = "leafs"
	sectionClasses        = "classes"
	sectionPolicy         = "policy"
	sectionLimits         = "limits"
	keySites              = "sites"
	keySite               = "site"
)

// Priorities of idempotent classes that state none.
const (
	patientModePriority = 10
	broadModePriority   = 20
	urgentModePriority  = 30
)

// What nodes of different sites must agree on is shared. Dispatching nodes
// divide the connections and the cold concurrency of a leaf without talking to
// each other, so services, entry slots and the leaf group size are shared; a
// failure domain that is out must be out for all; and a node in it counts the
// address lifetime that another node stated.

var failureDomainFields = []field[FailureDomain]{
	nameField("region", func(d *FailureDomain) *string { return &d.Region }).asShared(),
	enumField("state", []DomainState{DomainInService, DomainOutOfService}, func(d *FailureDomain) *DomainState { return &d.State }).asShared(),
}

var entrySlotFields = []field[EntrySlot]{
	nameField("failure-domain", func(e *EntrySlot) *anvilmodel.FailureDomain { return &e.FailureDomain }).asRequired().asShared(),
}

// Each of the three candidates may open a third of the connections, so a leaf
// with fewer than three would get none from any of them.
const minConnections = 3

var serviceFields = []field[Service]{
	integerField("slots", 1, 1024, func(s *Service) *int { return &s.Slots }).asRequired().asShared(),
	integerField("connections", minConnections, 65535, func(s *Service) *int { return &s.Connections }).asRequired().asShared(),
	integerField("cold-concurrency", 1, 1024, func(s *Service) *int { return &s.ColdConcurrency }).asShared(),
	durationField("cold-duration", 0, time.Hour, func(s *Service) *time.Duration { return &s.ColdDuration }).asShared(),
	durationField("connect-time", 0, 10*time.Second, func(s *Service) *time.Duration { return &s.ConnectTime }).asShared(),
}

var leafFields = []field[anvilmodel.Leaf]{
	addressPortField("address", func(l *anvilmodel.Leaf) *netip.AddrPort { return &l.Address }).asRequired().asShared(),
	nameField("failure-domain", func(l *anvilmodel.Leaf) *anvilmodel.FailureDomain { return &l.FailureDomain }).asRequired().asShared(),
}

var modes = []anvilmodel.Mode{anvilmodel.ModeBroad, anvilmodel.ModeUrgent, anvilmodel.ModePatient}

var classFields = []field[RequestClass]{
	enumField("mode", modes, func(c *RequestClass) *anvilmodel.Mode { return &c.Class.Mode }).asRequired(),
	integerField("priority", 1, 100, func(c *RequestClass) *int { return &c.Class.Priority }),
	durationField("timeout", time.Millisecond, time.Minute, func(c *RequestClass) *time.Duration { return &c.Class.Timeout }).asRequired(),
	numberField("coverage-floor", 0, 1, func(c *RequestClass) *float64 { return &c.Class.CoverageFloor }),
	durationField("return-reserve", 0, time.Second, func(c *RequestClass) *time.Duration { return &c.Class.ReturnReserve }),
	boolField("non-idempotent", func(c *RequestClass) *bool { return &c.Class.NonIdempotent }).asShared(),
	nameListField("services", func(c *RequestClass) *[]anvilmodel.ServiceName { return &c.Services }),
}

var policyFields = []field[Policy]{
	numberField("hedge-quantile", 0.5, 0.999, func(p *Policy) *float64 { return &p.HedgeQuantile }),
	numberField("hedge-budget", 0, 1, func(p *Policy) *float64 { return &p.HedgeBudget }),
	numberField("retry-budget", 0, 1, func(p *Policy) *float64 { return &p.RetryBudget }),
	integerField("leaf-group-size", 1, 1024, func(p *Policy) *int { return &p.LeafGroupSize }).asShared(),
	integerField("queue-per-slot", 1, 1024, func(p *Policy) *int { return &p.QueuePerSlot }),
	durationField("cold-quiet-period", time.Millisecond, time.Hour, func(p *Policy) *time.Duration { return &p.ColdQuietPeriod }),
	durationField("address-lifetime", 100*time.Millisecond, 5*time.Second, func(p *Policy) *time.Duration { return &p.AddressLifetime }).asShared(),
	durationField("network-round-trip", 0, time.Second, func(p *Policy) *time.Duration { return &p.NetworkRoundTrip }),
}

var limitsFields = []field[Limits]{
	integerField("max-body-bytes", 1, 64<<20, func(l *Limits) *int { return &l.MaxBodyBytes }).asShared(),
}

// baseHeader is the list of sites in the base file.
type baseHeader struct {
	sites []SiteName
}

// overlayHeader is the site in an overlay.
type overlayHeader struct {
	site SiteName
}

var baseHeaderFields = []field[baseHeader]{
	nameListField(keySites, func(s *baseHeader) *[]SiteName { return &s.sites }),
}

var overlayHeaderFields = []field[overlayHeader]{
	nameField(keySite, func(s *overlayHeader) *SiteName { return &s.site }),
}

func defaultFailureDomain(name string) FailureDomain {
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
		return urgentModePriority
	case anvilmodel.ModeBroad:
		return broadModePriority
	default:
		return patientModePriority
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
