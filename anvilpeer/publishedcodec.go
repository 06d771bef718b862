package anvilpeer

import (
	"time"

	"anvilbridge/anvilmirror"
	"anvilbridge/anvilproto"
)

// Published is a node's copy of a prefix of the platform's store.
type Published struct {
	anvilmirror.Changes
	// Age is the time since the store last confirmed that nothing is missing;
	// negative if it never has.
	Age time.Duration
}

func encodePublished(c Published) *anvilproto.PublishedReply {
	reply := &anvilproto.PublishedReply{
		Revision:  c.Revision,
		Complete:  c.Complete,
		Items:     make([]*anvilproto.PublishedItem, 0, len(c.Items)),
		AgeMicros: c.Age.Microseconds(),
	}
	for _, i := range c.Items {
		reply.Items = append(reply.Items, &anvilproto.PublishedItem{
			Key:      i.Key,
			Value:    i.Value,
			Revision: i.Revision,
			Deleted:  i.Deleted,
		})
	}
	return reply
}

func decodePublished(reply *anvilproto.PublishedReply) Published {
	c := Published{
		Changes: anvilmirror.Changes{
			Revision: reply.GetRevision(),
			Complete: reply.GetComplete(),
			Items:    make([]anvilmirror.Item, 0, len(reply.GetItems())),
		},
		Age: time.Duration(reply.GetAgeMicros()) * time.Microsecond,
	}
	for _, i := range reply.GetItems() {
		c.Items = append(c.Items, anvilmirror.Item{
			Key:      i.GetKey(),
			Value:    i.GetValue(),
			Revision: i.GetRevision(),
			Deleted:  i.GetDeleted(),
		})
	}
	return c
}
