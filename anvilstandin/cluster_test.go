package anvilstandin_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"anvilbridge/anvilmodel"
	"anvilbridge/anvilstandin"
)

func newCluster(t *testing.T) *anvilstandin.Cluster {
	t.Helper()
	cluster, err := anvilstandin.NewCluster(anvilstandin.ClusterConfig{
		Services: []anvilstandin.ServiceConfig{{
			Name:     "lots",
			Shards:   3,
			Replicas: 2,
		}},
		FailureDomains: []anvilmodel.FailureDomain{"a", "b", "c"},
		Seed:           1,
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(cluster.Shutdown)
	return cluster
}

// control sends a request to the control endpoint and returns the HTTP status.
func control(t *testing.T, cluster *anvilstandin.Cluster, method, path, body string) int {
	t.Helper()
	transport := http.Transport{
		DisableKeepAlives: true,
	}
	url := fmt.Sprintf("http://%s/standin/v1/%s", cluster.ControlAddress(), path)
	req, err := http.NewRequestWithContext(t.Context(), method, url, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Content-Type", "application/x-www-form-urlencoded")
	resp, err := transport.RoundTrip(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	return resp.StatusCode
}

// TestReplicasAreSpread guards against placing the replicas of a shard in the same
// failure domain, and against shards without a leaf when a snapshot with another
// shard count is published.
func TestReplicasAreSpread(t *testing.T) {
	cluster := newCluster(t)
	domains := make(map[string][]string)
	for _, l := range cluster.Leaves() {
		shard := strings.Split(string(l.Name), "-")[1]
		domains[shard] = append(domains[shard], string(l.FailureDomain))
	}
	want := map[string][]string{"0": {"a", "b"}, "1": {"b", "c"}, "2": {"c", "a"}}
	if diff := cmp.Diff(want, domains); diff != "" {
		t.Errorf("failure domains by shard (-want +got):\n%s", diff)
	}
	if err := cluster.PublishSnapshot("lots", 2, 4); err != nil {
		t.Fatal(err)
	}
	held := make(map[anvilmodel.Shard]int)
	f := newFixture(t, anvilstandin.UpstreamConfig{})
	for _, l := range cluster.Leaves() {
		s, err := f.client.ReadState(t.Context(), l.Address)
		if err != nil || len(s.Holdings) != 2 {
			t.Fatalf("leaf %s: got %+v, %v", l.Name, s, err)
		}
		held[s.Holdings[1].Shard]++
	}
	if diff := cmp.Diff(map[anvilmodel.Shard]int{0: 2, 1: 2, 2: 1, 3: 1}, held); diff != "" {
		t.Errorf("leaves by shard of the new snapshot (-want +got):\n%s", diff)
	}
	if err := cluster.PublishSnapshot("lots", 3, 7); err == nil {
		t.Error("7 shards on 6 leaves were accepted")
	}
}

// TestControlEndpoint guards against requests that are accepted but have no
// effect, and against wrong status codes.
func TestControlEndpoint(t *testing.T) {
	cluster := newCluster(t)
	cases := []struct {
		method, path, body string
		want               int
	}{
		{"POST", "leaf/lots-0-0", "cold=true&draining=true&slow=20ms", http.StatusNoContent},
		{"POST", "leaf/lots-0-1", "turn-cold=true", http.StatusNoContent},
		{"POST", "leaf/lots-0-0", "colour=red", http.StatusBadRequest},
		{"POST", "leaf/lots-0-0", "slow=long", http.StatusBadRequest},
		{"POST", "leaf/none", "cold=true", http.StatusNotFound},
		{"GET", "leaf/lots-0-0", "", http.StatusOK},
		{"PUT", "config/base", "a: 1", http.StatusNoContent},
		{"POST", "vms", `{"vms":[]}`, http.StatusNoContent},
		{"POST", "vms", `{"vms":[{}]}`, http.StatusBadRequest},
		{"POST", "publish/lots", "snapshot=2&shards=2", http.StatusNoContent},
		{"POST", "publish/lots", "snapshot=2&shards=9", http.StatusBadRequest},
	}
	for _, c := range cases {
		if got := control(t, cluster, c.method, c.path, c.body); got != c.want {
			t.Errorf("%s %s with %q: got status %d, want %d", c.method, c.path, c.body, got, c.want)
		}
	}
	f := newFixture(t, anvilstandin.UpstreamConfig{})
	first, err := f.client.ReadState(t.Context(), cluster.Upstream("lots-0-0").Address())
	if err != nil || !first.Cold || !first.Draining || len(first.Holdings) != 2 {
		t.Errorf("first leaf: got %+v, %v", first, err)
	}
	second, err := f.client.ReadState(t.Context(), cluster.Upstream("lots-0-1").Address())
	if err != nil || second.Incarnation != 2 {
		t.Errorf("second leaf: got %+v, %v", second, err)
	}
	if v := cluster.Config().Version(); v != 1 {
		t.Errorf("configuration: got version %d", v)
	}
}

func ExampleCluster() {
	cluster, err := anvilstandin.NewCluster(anvilstandin.ClusterConfig{
		Services: []anvilstandin.ServiceConfig{{
			Name:     "roster",
			Shards:   1,
			Replicas: 2,
		}},
	})
	if err != nil {
		fmt.Println(err)
		return
	}
	defer cluster.Shutdown()
	for _, l := range cluster.Leaves() {
		fmt.Println(l.Name, l.FailureDomain)
	}
	fmt.Println(string(anvilstandin.ExpectedPart("roster", 1, 0, []byte("next window"))))
	// Output:
	// roster-0-0 a
	// roster-0-1 a
	// {"service":"roster","snapshot":1,"shard":0,"request-digest":"3789a6236f74de92"}
}
