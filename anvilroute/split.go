package anvilroute

import "anvilbridge/anvilmodel"

// Splitter distributes the requests of each route over its weighted services by smooth
// weighted round-robin. Unlike random selection, whose deviation grows with the square
// root of the number of requests, it keeps the number of requests of each service close to
// its exact share at any time. It is not safe for concurrent use.
type Splitter struct {
	credits map[Name]map[anvilmodel.ServiceName]float64
}

// NewSplitter returns a Splitter without history.
func NewSplitter() *Splitter {
	return &Splitter{
		credits: make(map[Name]map[anvilmodel.ServiceName]float64),
	}
}

// Choose returns the service for the next request of the route. A sole service gets all
// requests, whatever its weight. Choose returns the empty name if a route has no services
// or if none of several has a positive weight.
func (s *Splitter) Choose(r *Route) anvilmodel.ServiceName {
	if len(r.Services) == 1 {
		return r.Services[0].Service
	}
	credits := s.credits[r.Name]
	if credits == nil {
		credits = make(map[anvilmodel.ServiceName]float64, len(r.Services))
		s.credits[r.Name] = credits
	}
	total := 0.0
	chosen := -1
	for i, candidate := range r.Services {
		if candidate.Weight <= 0 {
			continue
		}
		total += candidate.Weight
		credits[candidate.Service] += candidate.Weight
		if chosen < 0 || credits[candidate.Service] > credits[r.Services[chosen].Service] {
			chosen = i
		}
	}
	if chosen < 0 {
		return ""
	}
	service := r.Services[chosen].Service
	credits[service] -= total
	return service
}

// Reset discards the history. It must be called when the weights change.
func (s *Splitter) Reset() {
	clear(s.credits)
}
