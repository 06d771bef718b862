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

// TestLargeItemsAreCompressed guards against configurations that are sent uncompressed
// to every follower: at the design size, 204 KB to 12 followers 230 times a day are
// 6.5 KB/s, but a node may use only 4 KB/s. It also guards against fields that are
// changed by encoding and decoding.
func TestLargeItemsAreCompressed(t *testing.T) {
	const maxBytes = 204 << 10 / 4
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
		Announcements: anvilmodel.LeafAnnouncements{
			Departures: []anvilmodel.Departure{
				{
					Leaf:      "a",
					StartedAt: time.UnixMilli(1796385600123),
				},
				{
					Leaf: "b",
				},
			},
			RateLimits: []anvilmodel.RateLimitNotice{{
				Leaf:      "c",
				StartedAt: time.UnixMilli(1796385600789),
				RateLimit: anvilmodel.RateLimit{
					Limited:   true,
					PerSecond: 0.25,
				},
				Age: 1500 * time.Millisecond,
			}},
		},
	}
	requested := anvilmodel.LeafAnnouncements{
		Departures: []anvilmodel.Departure{{
			Leaf:      "c",
			StartedAt: time.UnixMilli(1796385600456),
		}},
		RateLimits: []anvilmodel.RateLimitNotice{{
			Leaf: "d",
			Age:  time.Millisecond,
		}},
	}
	p := (&testPeer{}).start(t, anvilpeer.Handlers{
		Published: func(_ context.Context, request anvilpeer.PublishedRequest) anvilpeer.PublishedReply {
			if diff := cmp.Diff(requested, request.Announcements); diff != "" {
				t.Errorf("announcements of the request (-want +got):\n%s", diff)
			}
			return want
		},
	})
	var transferred atomic.Int64
	client := anvilpeer.NewClient(anvilpeer.ClientConfig{
		Dial: func(ctx context.Context, address netip.AddrPort) (net.Conn, error) {
			var d net.Dialer
			conn, err := d.DialContext(ctx, "tcp", address.String())
			return countingConn{
				Conn:  conn,
				bytes: &transferred,
			}, err
		},
	})
	defer func() { _ = client.Close() }()
	for range 2 {
		got, err := client.Published(t.Context(), p.address, anvilpeer.PublishedRequest{
			CompleteRevision: 3,
			Announcements:    requested,
		})
		if err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(want, got); diff != "" {
			t.Errorf("reply (-want +got):\n%s", diff)
		}
	}
	if size := transferred.Load() / 2; size > maxBytes {
		t.Errorf("request and reply took %d bytes, want at most %d", size, maxBytes)
	}
}
