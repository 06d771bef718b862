package anvilconfig

import (
	"cmp"
	"slices"
	"time"

	"anvilbridge/anvilmodel"
)

// Service returns the service with the given name.
func (s *Settings) Service(name anvilmodel.ServiceName) (*Service, bool) {
	for i := range s.Services {
		if s.Services[i].Name == name {
			return &s.Services[i], true
		}
	}
	return nil, false
}

// Class returns the request class with the given name.
func (s *Settings) Class(name anvilmodel.ClassName) (*RequestClass, bool) {
	for i := range s.Classes {
		if s.Classes[i].Class.Name == name {
			return &s.Classes[i], true
		}
	}
	return nil, false
}

// Leaf returns the leaf with the given name. It requires the leaves of each
// service to be sorted by name.
func (s *Settings) Leaf(name anvilmodel.LeafName) (anvilmodel.Leaf, bool) {
	for i := range s.Services {
		leaves := s.Services[i].Leaves
		// Leaf names usually begin with the name of their service, so this skips most
		// services.
		if len(leaves) == 0 || name < leaves[0].Name || name > leaves[len(leaves)-1].Name {
			continue
		}
		index, found := slices.BinarySearchFunc(leaves, name, compareLeafName)
		if found {
			return leaves[index], true
		}
	}
	return anvilmodel.Leaf{}, false
}

// EntrySlot returns the entry slot with the given name.
func (s *Settings) EntrySlot(name anvilmodel.SlotName) (EntrySlot, bool) {
	for _, e := range s.EntrySlots {
		if e.Name == name {
			return e, true
		}
	}
	return EntrySlot{}, false
}

// FailureDomain returns the failure domain with the given name.
func (s *Settings) FailureDomain(name anvilmodel.FailureDomain) (FailureDomain, bool) {
	for _, d := range s.FailureDomains {
		if d.Name == name {
			return d, true
		}
	}
	return FailureDomain{}, false
}

// DomainOutOfService reports whether operators have taken the failure domain out
// of service. It returns false for a failure domain that is not declared.
func (s *Settings) DomainOutOfService(name anvilmodel.FailureDomain) bool {
	d, found := s.FailureDomain(name)
	return found && d.State == DomainOutOfService
}

// LongestClassTimeout returns the longest timeout of all classes, or 0 if there
// are none.
func (s *Settings) LongestClassTimeout() (longest time.Duration) {
	for i := range s.Classes {
		longest = max(longest, s.Classes[i].Class.Timeout)
	}
	return longest
}

// AllowsService reports whether requests of the class may query the service.
func (c *RequestClass) AllowsService(name anvilmodel.ServiceName) bool {
	return slices.Contains(c.Services, name)
}

func compareLeafName(l anvilmodel.Leaf, name anvilmodel.LeafName) int {
	return cmp.Compare(l.Name, name)
}
