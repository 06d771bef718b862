package anvilconfig

import (
	"net/netip"
	"time"

	"anvilbridge/anvilmodel"
)

// Top-level keys, and the key of the leaves of a service.
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

// Default priorities of idempotent classes, by mode.
const (
	patientModePriority = 10
	broadModePriority   = 20
	urgentModePriority  = 30
)

// Fields on which the nodes of all sites must agree are shared. Nodes divide the
// connections and the cold concurrency of a leaf without coordinating with each
// other, so services, entry slots and the leaf group size are shared. A failure
// domain that is out of service must be out of service at every site. A node in
// such a failure domain relies on the address lifetime that other nodes sent to
// callers.

var failureDomainFields = []field[FailureDomain]{
	nameField("region", func(domain *FailureDomain) *string { return &domain.Region }).asShared(),
	enumField("state", []DomainState{DomainInService, DomainOutOfService}, func(domain *FailureDomain) *DomainState { return &domain.State }).asShared(),
}

var entrySlotFields = []field[EntrySlot]{
	nameField("failure-domain", func(slot *EntrySlot) *anvilmodel.FailureDomain { return &slot.FailureDomain }).asRequired().asShared(),
}

// Each of the three candidate nodes of a leaf may open a third of its
// connections. With fewer than three, at least one of them could open none.
const minConnections = 3

var serviceFields = []field[Service]{
	integerField("slots", 1, 1024, func(service *Service) *int { return &service.Slots }).asRequired().asShared(),
	integerField("connections", minConnections, 65535, func(service *Service) *int { return &service.Connections }).asRequired().asShared(),
	integerField("cold-concurrency", 1, 1024, func(service *Service) *int { return &service.ColdConcurrency }).asShared(),
	durationField("cold-duration", 0, time.Hour, func(service *Service) *time.Duration { return &service.ColdDuration }).asShared(),
	durationField("connect-time", 0, 10*time.Second, func(service *Service) *time.Duration { return &service.ConnectTime }).asShared(),
}

var leafFields = []field[anvilmodel.Leaf]{
	addressPortField("address", func(leaf *anvilmodel.Leaf) *netip.AddrPort { return &leaf.Address }).asRequired().asShared(),
	nameField("failure-domain", func(leaf *anvilmodel.Leaf) *anvilmodel.FailureDomain { return &leaf.FailureDomain }).asRequired().asShared(),
}

var modes = []anvilmodel.Mode{anvilmodel.ModeBroad, anvilmodel.ModeUrgent, anvilmodel.ModePatient}

var classFields = []field[RequestClass]{
	enumField("mode", modes, func(class *RequestClass) *anvilmodel.Mode { return &class.Class.Mode }).asRequired(),
	integerField("priority", 1, 100, func(class *RequestClass) *int { return &class.Class.Priority }),
	durationField("timeout", time.Millisecond, time.Minute, func(class *RequestClass) *time.Duration { return &class.Class.Timeout }).asRequired(),
	numberField("coverage-floor", 0, 1, func(class *RequestClass) *float64 { return &class.Class.CoverageFloor }),
	durationField("return-reserve", 0, time.Second, func(class *RequestClass) *time.Duration { return &class.Class.ReturnReserve }),
	boolField("non-idempotent", func(class *RequestClass) *bool { return &class.Class.NonIdempotent }).asShared(),
	nameListField("services", func(class *RequestClass) *[]anvilmodel.ServiceName { return &class.Services }),
}

var policyFields = []field[Policy]{
	numberField("hedge-quantile", 0.5, 0.999, func(policy *Policy) *float64 { return &policy.HedgeQuantile }),
	numberField("hedge-budget", 0, 1, func(policy *Policy) *float64 { return &policy.HedgeBudget }),
	numberField("retry-budget", 0, 1, func(policy *Policy) *float64 { return &policy.RetryBudget }),
	integerField("leaf-group-size", 1, 1024, func(policy *Policy) *int { return &policy.LeafGroupSize }).asShared(),
	integerField("queue-per-slot", 1, 1024, func(policy *Policy) *int { return &policy.QueuePerSlot }),
	durationField("cold-quiet-period", time.Millisecond, time.Hour, func(policy *Policy) *time.Duration { return &policy.ColdQuietPeriod }),
	durationField("address-lifetime", 100*time.Millisecond, 5*time.Second, func(policy *Policy) *time.Duration { return &policy.AddressLifetime }).asShared(),
	durationField("network-round-trip", 0, time.Second, func(policy *Policy) *time.Duration { return &policy.NetworkRoundTrip }),
}

var limitsFields = []field[Limits]{
	integerField("max-body-bytes", 1, 64<<20, func(limits *Limits) *int { return &limits.MaxBodyBytes }).asShared(),
}

// baseHeader holds the fields of a base file that are not in any section.
type baseHeader struct {
	sites []SiteName
}

// overlayHeader holds the fields of an overlay that are not in any section.
type overlayHeader struct {
	site SiteName
}

var baseHeaderFields = []field[baseHeader]{
	nameListField(keySites, func(header *baseHeader) *[]SiteName { return &header.sites }),
}

var overlayHeaderFields = []field[overlayHeader]{
	nameField(keySite, func(header *overlayHeader) *SiteName { return &header.site }),
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

func defaultPriority(mode anvilmodel.Mode) int {
	switch mode {
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
