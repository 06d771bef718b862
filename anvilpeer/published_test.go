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
	"anvilbridge/anvilquarantine"
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
			Era:              2,
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
		StoreReads: []anvilmirror.StoreRead{
			{
				Node:       "vm-1",
				SuccessAge: 300 * time.Millisecond,
			},
			{
				Node:       "vm-2",
				SuccessAge: -time.Microsecond,
				Lost:       true,
				LossAge:    40 * time.Millisecond,
			},
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
		CrashReports: []anvilmodel.CrashReport{
			{
				Fingerprint:  anvilmodel.Fingerprint{1, 2, 3},
				Crashes:      []uint64{4, 1 << 63},
				TrialCrashes: []uint64{6},
				Quarantined:  true,
				Age:          time.Second,
			},
			{
				Crashes: []uint64{5},
			},
		},
		CrashDigest: 1 << 63,
	}
	reads := []anvilmirror.StoreRead{{
		Node:       "vm-3",
		SuccessAge: time.Second,
	}}
	want.Announcements.CrashReports = requested.CrashReports
	want.Announcements.CrashDigest = requested.CrashDigest
	p := (&testPeer{}).start(t, anvilpeer.Handlers{
		Published: func(_ context.Context, request anvilpeer.PublishedRequest) anvilpeer.PublishedReply {
			if diff := cmp.Diff(uint64(7), request.KnownCrashDigest); diff != "" {
				t.Errorf("known digest of the request (-want +got):\n%s", diff)
			}
			if diff := cmp.Diff(uint64(2), request.Era); diff != "" {
				t.Errorf("era of the request (-want +got):\n%s", diff)
			}
			if diff := cmp.Diff(reads, request.StoreReads); diff != "" {
				t.Errorf("reads of the request (-want +got):\n%s", diff)
			}
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
			Era:              2,
			CompleteRevision: 3,
			KnownCrashDigest: 7,
			Announcements:    requested,
			StoreReads:       reads,
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

// Guards against a copy that the store has never confirmed and that counts as fresh at
// another node, and against a node that counts as a reader although it never reached the
// store: an age of -1 ns is not negative in microseconds.
func TestNegativeAgesStayNegative(t *testing.T) {
	p := (&testPeer{}).start(t, anvilpeer.Handlers{
		Published: func(context.Context, anvilpeer.PublishedRequest) anvilpeer.PublishedReply {
			return anvilpeer.PublishedReply{
				Age: -1,
				StoreReads: []anvilmirror.StoreRead{{
					Node:       "vm-1",
					SuccessAge: -1,
					Lost:       true,
				}},
			}
		},
	})
	client := anvilpeer.NewClient(anvilpeer.ClientConfig{
		Dial: func(ctx context.Context, address netip.AddrPort) (net.Conn, error) {
			var d net.Dialer
			return d.DialContext(ctx, "tcp", address.String())
		},
	})
	defer func() { _ = client.Close() }()
	got, err := client.Published(t.Context(), p.address, anvilpeer.PublishedRequest{})
	if err != nil {
		t.Fatal(err)
	}
	if got.Age >= 0 || len(got.StoreReads) != 1 || got.StoreReads[0].SuccessAge >= 0 {
		t.Errorf("age %s, reads %v, want negative ages", got.Age, got.StoreReads)
	}
}

// Guards against sending the configuration of an earlier era from the cache of compressed
// values, because the store was restored and has given its revision out again.
func TestCompressedValueBelongsToEra(t *testing.T) {
	published := anvilpeer.PublishedReply{}
	p := (&testPeer{}).start(t, anvilpeer.Handlers{
		Published: func(context.Context, anvilpeer.PublishedRequest) anvilpeer.PublishedReply {
			return published
		},
	})
	client := anvilpeer.NewClient(anvilpeer.ClientConfig{
		Dial: func(ctx context.Context, address netip.AddrPort) (net.Conn, error) {
			var d net.Dialer
			return d.DialContext(ctx, "tcp", address.String())
		},
	})
	defer func() { _ = client.Close() }()
	for era := range uint64(2) {
		published.Era = era
		published.Items = []anvilmirror.Item{{
			Key:      "configuration/now",
			Value:    bytes.Repeat([]byte{byte('a' + era)}, 4<<10),
			Revision: 7,
		}}
		got, err := client.Published(t.Context(), p.address, anvilpeer.PublishedRequest{})
		if err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(published.Items, got.Items); diff != "" {
			t.Errorf("items of era %d (-want +got):\n%s", era, diff)
		}
	}
}

// Guards against a message with crash reports that takes more than half of the 4 KB that a node
// spends on control in a second.
func TestCrashReportsAreSmall(t *testing.T) {
	const maxBytes = 2 << 10
	var reply anvilpeer.PublishedReply
	for i := range anvilquarantine.MaxReports {
		reply.Announcements.CrashReports = append(reply.Announcements.CrashReports, anvilmodel.CrashReport{
			Fingerprint:  anvilmodel.Fingerprint{byte(i)},
			Crashes:      []uint64{1, 2, 3},
			TrialCrashes: []uint64{4, 5},
			Quarantined:  true,
			Age:          10 * time.Minute,
		})
	}
	p := (&testPeer{}).start(t, anvilpeer.Handlers{
		Published: func(context.Context, anvilpeer.PublishedRequest) anvilpeer.PublishedReply { return reply },
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
	if _, err := client.Published(t.Context(), p.address, anvilpeer.PublishedRequest{}); err != nil {
		t.Fatal(err)
	}
	if got := transferred.Load(); got > maxBytes {
		t.Errorf("request and reply with %d crash reports took %d bytes, want at most %d", anvilquarantine.MaxReports, got, maxBytes)
	}
	t.Logf("request and reply with %d crash reports took %d bytes", anvilquarantine.MaxReports, transferred.Load())
}
