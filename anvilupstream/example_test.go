package anvilupstream_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"anvilbridge/anvilmodel"
	"anvilbridge/anvilstandin"
	"anvilbridge/anvilupstream"
)

func ExampleClient_Call() {
	leaf, err := anvilstandin.NewUpstream(anvilstandin.UpstreamConfig{
		Name:     "roster-0-0",
		Service:  "roster",
		Holdings: []anvilmodel.Holding{{Snapshot: 1, ShardCount: 1}},
	})
	if err != nil {
		fmt.Println(err)
		return
	}
	defer leaf.Stop()
	client := anvilupstream.New(anvilupstream.Config{})
	defer client.Shutdown()
	for attempt := range 2 {
		out := client.Call(context.Background(), leaf.Address(), 0, anvilmodel.Call{
			ID: anvilmodel.CallID{
				Request: "r-1",
				Attempt: attempt,
			},
			Snapshot: 1,
			Timeout:  time.Minute,
			Body:     []byte("next window"),
		})
		fmt.Println(out.Reply.Result, out.ConnectionOpened, string(out.Reply.Body))
	}
	// Output:
	// ok true {"service":"roster","snapshot":1,"shard":0,"request-digest":"3789a6236f74de92"}
	// ok false {"service":"roster","snapshot":1,"shard":0,"request-digest":"3789a6236f74de92"}
}

// BenchmarkCall calls a leaf that replies immediately, on one persistent
// connection. The fake leaf and the client share the processors.
func BenchmarkCall(b *testing.B) {
	leaf, err := anvilstandin.NewUpstream(anvilstandin.UpstreamConfig{
		Holdings: []anvilmodel.Holding{{Snapshot: 7, Shard: 2, ShardCount: 5}},
	})
	if err != nil {
		b.Fatal(err)
	}
	defer leaf.Stop()
	client := anvilupstream.New(anvilupstream.Config{})
	defer client.Shutdown()
	b.ReportAllocs()
	attempt := 0
	for b.Loop() {
		attempt++
		if out := client.Call(b.Context(), leaf.Address(), 0, newCall(attempt, time.Minute)); out.Err != nil {
			b.Fatal(out.Err)
		}
	}
}
