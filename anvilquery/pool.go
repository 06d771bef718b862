package anvilquery

// maxFreeQueries is the maximum number of released queries kept for reuse.
const maxFreeQueries = 64

// newQuery returns an empty query, reusing the memory of a released one if
// possible.
func (o *Origin) newQuery() *Query {
	n := len(o.freeQueries)
	if n == 0 {
		return &Query{
			origin: o,
		}
	}
	q := o.freeQueries[n-1]
	o.freeQueries[n-1] = nil
	o.freeQueries = o.freeQueries[:n-1]
	q.done = false
	q.released = false
	return q
}

// Release returns the memory of a finished query to its origin for reuse. The query
// must not be used afterwards. Calling Release is optional.
func (q *Query) Release() {
	o := q.origin
	if !q.done || q.released || len(o.freeQueries) >= maxFreeQueries {
		return
	}
	// References to bodies and leaves are cleared so that they can be
	// garbage-collected.
	clear(q.shards)
	clear(q.calls)
	*q = Query{
		origin:   o,
		shards:   q.shards[:0],
		calls:    q.calls[:0],
		done:     true,
		released: true,
		hedges: hedgeQueue{
			entries: q.hedges.entries[:0],
		},
	}
	o.freeQueries = append(o.freeQueries, q)
}
