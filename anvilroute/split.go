package anvilroute

import "anvilbridge/anvilmodel"

// Splitter distributes the requests of routes over their weighted services. It
// keeps each service's share exact over any run of requests, where a random
// choice would stray by the square root of their number. It is not safe for
// concurrent use.
type Splitter struct {
	credits map[Name]map[anvilmodel.ServiceName]float64
}

// NewSplitter returns a Splitter that has distributed nothing yet.
func NewSplitter() *Splitter {
	return &Splitter{
		credits: make(map[Name]map[anvilmodel.ServiceName]float64),
	}
}

// Choose returns the service of the next request of the route.
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
	for i, part := range r.Services {
		if part.Weight <= 0 {
			continue
		}
		total += part.Weight
		credits[part.Service] += part.Weight
		if chosen < 0 || credits[part.Service] > credits[r.Services[chosen].Service] {
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

// Reset forgets what was distributed. The owner calls it when the weights change.
func (s *Splitter) Reset() {
	clear(s.credits)
}
