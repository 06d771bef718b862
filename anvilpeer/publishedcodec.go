package anvilpeer

import (
	"anvilbridge/anvilmirror"
	"anvilbridge/anvilproto"
)

func encodePublished(c anvilmirror.Changes) *anvilproto.PublishedReply {
	reply := &anvilproto.PublishedReply{
		Revision: c.Revision,
		Complete: c.Complete,
		Items:    make([]*anvilproto.PublishedItem, 0, len(c.Items)),
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

func decodePublished(reply *anvilproto.PublishedReply) anvilmirror.Changes {
	c := anvilmirror.Changes{
		Revision: reply.GetRevision(),
		Complete: reply.GetComplete(),
		Items:    make([]anvilmirror.Item, 0, len(reply.GetItems())),
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
