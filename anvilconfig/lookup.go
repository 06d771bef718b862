package anvilconfig

import (
	"cmp"
	"slices"
	"time"

	"anvilbridge/anvilmodel"
)

// Service returns the service of that name.
func (s *Settings) Service(name anvilmodel.ServiceName) (*Service, bool) {
	for i := range s.Services {
		if s.Services[i].Name == name {
			return &s.Services[i], true
		}
	}
	return nil, false
}

// Class returns the request class of that name.
func (s *Settings) Class(name anvilmodel.ClassName) (*RequestClass, bool) {
	for i := range s.Classes {
		if s.Classes[i].Class.Name == name {
			return &s.Classes[i], true
		}
	}
	return nil, false
}

// Leaf returns the leaf of that name. It relies on the leafs of each service
// being sorted by name.
func (s *Settings) Leaf(name anvilmodel.LeafName) (anvilmodel.Leaf, bool) {
	for i := range s.Services {
		leafs := s.Services[i].Leaves
		// Leafs are usually named after their service, so this passes by most services.
		if len(leafs) == 0 || name < leafs[0].Name || name > leafs[len(leafs)-1].Name {
			continue
		}
		at, found := slices.BinarySearchFunc(leafs, name, compareLeafName)
		if found {
			return leafs[at], true
		}
	}
	return anvilmodel.Leaf{}, false
}

// EntrySlot returns the entry slot of that name.
func (s *Settings) EntrySlot(name anvilmodel.SlotName) (EntrySlot, bool) {
	for _, e := range s.EntrySlots {
		if e.Name == name {
			return e, true
		}
	}
	return EntrySlot{}, false
}

// FailureDomain returns the failure domain of that name.
func (s *Settings) FailureDomain(name anvilmodel.FailureDomain) (FailureDomain, bool) {
	for _, d := range s.FailureDomains {
		if d.Name == name {
			return d, true
		}
	}
	return FailureDomain{}, false
}

// DomainOutOfService reports whether operators have taken the failure domain out of
// service. A failure domain that is not declared is not out.
func (s *Settings) DomainOutOfService(name anvilmodel.FailureDomain) bool {
	d, found := s.FailureDomain(name)
	return found && d.State == DomainOutOfService
}

// LongestClassTimeout returns the longest class timeout, zero without classes.
func (s *Settings) LongestClassTimeout() (longest time.Duration) {
	for i := range s.Classes {
		longest = max(longest, s.Classes[i].Class.Timeout)
	}
	return longest
}

// AllowsService reports whether the class may be used with the service.
func (c *RequestClass) AllowsService(name anvilmodel.ServiceName) bool {
	return slices.Contains(c.Services, name)
}

func compareLeafName(l anvilmodel.Leaf, name anvilmodel.LeafName) int {
	return cmp.Compare(l.Name, name)
}
