package anvilpeer_test

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"anvilbridge/anvilmirror"
	"anvilbridge/anvilmodel"
	"anvilbridge/anvilpeer"
)

// Pattern: the configuration grows by many routes, and each node passes it on to
// others. Guards against documents that take a multiple of what they say: at the size
// to design for, 204 KB to 12 followers 230 times a day were 6.5 KB/s of the 4 KB/s
// that a node may spend. Guards against values that change on the way as well.
func TestLargeItemsAreCompressed(t *testing.T) {
	const most = 204 << 10 / 4
	var document bytes.Buffer
	for i := 0; document.Len() < 204<<10; i++ {
		fmt.Fprintf(&document, `{"name":"r-%06d","host":"lots.example","prefix":"/p%d/","service":"registry-portal~%d","timeout_ms":800},`, i*7919%999983, i, i%180)
	}
	want := anvilpeer.PublishedReply{
		Changes: anvilmirror.Changes{
			After:            3,
			CompleteRevision: 9,
			Digest:           17,
			Items: []anvilmirror.Item{
				{
					Key:      "configuration/now",
					Value:    document.Bytes(),
					Revision: 8,
				},
				{
					Key:      "leafs/a",
					Value:    []byte("short"),
					Revision: 9,
				},
			},
		},
		Age: time.Second,
		Departures: []anvilmodel.Departure{
			{
				Leaf:      "a",
				StartedAt: time.UnixMilli(1796385600123),
			},
			{
				Leaf: "b",
			},
		},
	}
	told := []anvilmodel.Departure{{
		Leaf:      "c",
		StartedAt: time.UnixMilli(1796385600456),
	}}
	p := (&peer{}).start(t, anvilpeer.Handlers{
		Published: func(_ context.Context, q anvilpeer.PublishedRequest) anvilpeer.PublishedReply {
			if diff := cmp.Diff(told, q.Departures); diff != "" {
				t.Errorf("departures of the question (-want +got):\n%s", diff)
			}
			return want
		},
	})
	var crossed atomic.Int64
	client := anvilpeer.NewClient(anvilpeer.ClientConfig{
		Dial: func(ctx context.Context, address netip.AddrPort) (net.Conn, error) {
			var d net.Dialer
			conn, err := d.DialContext(ctx, "tcp", address.String())
			return countConn{
				Conn:  conn,
				bytes: &crossed,
			}, err
		},
	})
	defer func() { _ = client.Close() }()
	for range 2 {
		got, err := client.Published(t.Context(), p.address, anvilpeer.PublishedRequest{
			After:      3,
			Departures: told,
		})
		if err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(want, got); diff != "" {
			t.Errorf("copy (-want +got):\n%s", diff)
		}
	}
	if size := crossed.Load() / 2; size > most {
		t.Errorf("question and answer took %d bytes, want %d at most", size, most)
	}
}
