package anvilroute_test

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"anvilbridge/anvilmodel"
	"anvilbridge/anvilroute"
)

// Guards against matching a shorter prefix than the longest one, a route of another host
// or a prefix that ends within a path segment.
func TestFind(t *testing.T) {
	table := anvilroute.NewTable(anvilroute.Configuration{
		Version: 7,
		Routes: []anvilroute.Route{
			{
				Name:   "short",
				Host:   "Lots.example",
				Prefix: "/a/",
			},
			{
				Name:   "long",
				Host:   "lots.example",
				Prefix: "/a/b/",
			},
			{
				Name:   "other-host",
				Host:   "dues.example",
				Prefix: "/a/",
			},
		},
	})
	for _, c := range []struct {
		host string
		path string
		want anvilroute.Name
	}{
		{"lots.example", "/a/x", "short"},
		{"lots.example", "/a/b/x", "long"},
		{"lots.example", "/a/b", "short"},
		{"LOTS.example:8104", "/a/b/", "long"},
		{"dues.example", "/a/b/x", "other-host"},
		{"lots.example", "/ab/x", ""},
		{"lots.example", "/a", ""},
		{"none.example", "/a/x", ""},
	} {
		got := anvilroute.Name("")
		if r := table.Find(c.host, c.path); r != nil {
			got = r.Name
		}
		if diff := cmp.Diff(c.want, got); diff != "" {
			t.Errorf("host %s path %s (-want +got):\n%s", c.host, c.path, diff)
		}
	}
}

// Guards against a traffic split that deviates from the weights. The permitted deviation
// over 300 requests is one tenth of a service's share.
func TestSplitterKeepsShares(t *testing.T) {
	route := anvilroute.Route{
		Name: "r",
		Services: []anvilroute.WeightedService{
			{
				Service: "a",
				Weight:  90,
			},
			{
				Service: "b",
				Weight:  9,
			},
			{
				Service: "c",
				Weight:  1,
			},
			{
				Service: "none",
				Weight:  0,
			},
		},
	}
	s := anvilroute.NewSplitter()
	got := make(map[anvilmodel.ServiceName]int)
	for range 300 {
		got[s.Choose(&route)]++
	}
	want := map[anvilmodel.ServiceName]int{
		"a": 270,
		"b": 27,
		"c": 3,
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("requests by service (-want +got):\n%s", diff)
	}
}
