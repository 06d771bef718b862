package anvilaudit

// DefaultCapacity is the default number of events that a Ring keeps.
const DefaultCapacity = 1024

// maxChangesPerEvent bounds the memory of an event. A complete rewrite of a large base
// file changes tens of thousands of fields.
const maxChangesPerEvent = 256

// Config sets up a Ring.
type Config struct {
	// Capacity is the number of events kept; 0 means DefaultCapacity.
	Capacity int
	// Write is called with every event, for example to log it. It may be nil.
	Write func(Event)
}

// Ring is a ring buffer of the most recent events. It is not safe for concurrent use.
type Ring struct {
	write  func(Event)
	events []Event
	next   int
	total  uint64
}

// New returns an empty Ring.
func New(c Config) *Ring {
	capacity := c.Capacity
	if capacity <= 0 {
		capacity = DefaultCapacity
	}
	return &Ring{
		write:  c.Write,
		events: make([]Event, 0, capacity),
	}
}

// Add records an event and passes it to Config.Write. The ring keeps at most 256
// changes of an event; Config.Write receives all of them.
func (r *Ring) Add(event Event) {
	if r.write != nil {
		r.write(event)
	}
	if len(event.Changes) > maxChangesPerEvent {
		event.Changes = event.Changes[:maxChangesPerEvent:maxChangesPerEvent]
	}
	r.total++
	if len(r.events) < cap(r.events) {
		r.events = append(r.events, event)
		return
	}
	r.events[r.next] = event
	r.next = (r.next + 1) % len(r.events)
}

// Total returns the number of events added so far.
func (r *Ring) Total() uint64 {
	return r.total
}

// Recent returns the last events, up to limit, oldest first.
func (r *Ring) Recent(limit int) []Event {
	count := min(limit, len(r.events))
	recent := make([]Event, 0, max(count, 0))
	for i := len(r.events) - count; i < len(r.events); i++ {
		recent = append(recent, r.events[(r.next+i)%len(r.events)])
	}
	return recent
}
