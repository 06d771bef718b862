package anvilpeer

import (
	"time"

	"anvilbridge/anvilmirror"
	"anvilbridge/anvilmodel"
	"anvilbridge/anvilproto"
)

// PublishedReply is a node's copy of a prefix of the platform's store.
type PublishedReply struct {
	anvilmirror.Changes
	// Age is the time since the store last confirmed that nothing is missing;
	// negative if it never has.
	Age time.Duration
	// GraceRemaining is how much longer deleted entries may have lapsed because the store was
	// away.
	GraceRemaining time.Duration
	// Departures are the leafs that are known to leave although they may be listed.
	Departures []anvilmodel.Departure
}

// PublishedRequest asks for what is missing of a prefix.
type PublishedRequest struct {
	Prefix string
	// After is the revision up to which the asking node misses nothing.
	After uint64
	// Latest is the revision of the last change that it holds.
	Latest uint64
	// Digest is that of the changes between the two revisions that it holds.
	Digest uint64
	// Wait is how long to wait for a change after Latest.
	Wait time.Duration
	// Departures are the leafs that the asking node knows to leave.
	Departures []anvilmodel.Departure
}

func encodePublishedQuestion(q PublishedRequest) *anvilproto.PublishedRequest {
	return &anvilproto.PublishedRequest{
		Prefix:     q.Prefix,
		After:      q.After,
		Latest:     q.Latest,
		Digest:     q.Digest,
		WaitMicros: q.Wait.Microseconds(),
		Departures: encodeDepartures(q.Departures),
	}
}

func decodePublishedQuestion(q *anvilproto.PublishedRequest) PublishedRequest {
	return PublishedRequest{
		Prefix:     q.GetPrefix(),
		After:      q.GetAfter(),
		Latest:     q.GetLatest(),
		Digest:     q.GetDigest(),
		Wait:       time.Duration(q.GetWaitMicros()) * time.Microsecond,
		Departures: decodeDepartures(q.GetDepartures()),
	}
}

func encodePublished(c PublishedReply, z *compressor) *anvilproto.PublishedReply {
	reply := &anvilproto.PublishedReply{
		Revision:  c.CompleteRevision,
		Complete:  c.Snapshot,
		Items:     make([]*anvilproto.PublishedItem, 0, len(c.Items)),
		AgeMicros: c.Age.Microseconds(),
		Digest:    c.Digest,

		LapseMicros: c.GraceRemaining.Microseconds(),
		Departures:  encodeDepartures(c.Departures),
	}
	for _, i := range c.Items {
		value, compressed := z.compress(i)
		reply.Items = append(reply.Items, &anvilproto.PublishedItem{
			Key:        i.Key,
			Value:      value,
			Revision:   i.Revision,
			Deleted:    i.Deleted,
			Compressed: compressed,
		})
	}
	return reply
}

// decodePublished returns an error for a value that cannot be decompressed.
func decodePublished(reply *anvilproto.PublishedReply, z *decompressor) (PublishedReply, error) {
	c := PublishedReply{
		Changes: anvilmirror.Changes{
			CompleteRevision: reply.GetRevision(),
			Snapshot:         reply.GetComplete(),
			Digest:           reply.GetDigest(),
			Items:            make([]anvilmirror.Item, 0, len(reply.GetItems())),
		},
		Age:            time.Duration(reply.GetAgeMicros()) * time.Microsecond,
		GraceRemaining: time.Duration(reply.GetLapseMicros()) * time.Microsecond,
		Departures:     decodeDepartures(reply.GetDepartures()),
	}
	for _, i := range reply.GetItems() {
		value := i.GetValue()
		if i.GetCompressed() {
			var err error
			if value, err = z.decompress(value); err != nil {
				return PublishedReply{}, Malformed.Wrap(err, "decompressing the item %s", i.GetKey())
			}
		}
		c.Items = append(c.Items, anvilmirror.Item{
			Key:      i.GetKey(),
			Value:    value,
			Revision: i.GetRevision(),
			Deleted:  i.GetDeleted(),
		})
	}
	return c, nil
}

func encodeDepartures(departures []anvilmodel.Departure) []*anvilproto.Departure {
	encoded := make([]*anvilproto.Departure, 0, len(departures))
	for _, d := range departures {
		e := &anvilproto.Departure{
			Leaf: string(d.Leaf),
		}
		if !d.StartedAt.IsZero() {
			e.StartedMicros = d.StartedAt.UnixMicro()
		}
		encoded = append(encoded, e)
	}
	return encoded
}

func decodeDepartures(encoded []*anvilproto.Departure) []anvilmodel.Departure {
	var departures []anvilmodel.Departure
	for _, e := range encoded {
		d := anvilmodel.Departure{
			Leaf: anvilmodel.LeafName(e.GetLeaf()),
		}
		if micros := e.GetStartedMicros(); micros != 0 {
			d.StartedAt = time.UnixMicro(micros)
		}
		departures = append(departures, d)
	}
	return departures
}
