package anvilcaller_test

import (
	"errors"
	"net/http"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/joomcode/errorx"

	"anvilbridge/anvilcaller"
	"anvilbridge/anvilmodel"
	"anvilbridge/anvilwire"
)

func startClient(t *testing.T, seeds ...*fakeNode) *anvilcaller.Client {
	t.Helper()
	c := anvilcaller.Config{
		DialTimeout:    testTimeout,
		AddressTimeout: testTimeout,
	}
	for _, n := range seeds {
		c.Seeds = append(c.Seeds, n.member.CallerAddress)
	}
	client := anvilcaller.New(c)
	t.Cleanup(client.Shutdown)
	return client
}

func request(nonIdempotent bool) anvilcaller.Request {
	return anvilcaller.Request{
		ID:            "r-1",
		Service:       "lots",
		Class:         "buyer",
		Timeout:       testTimeout,
		NonIdempotent: nonIdempotent,
		Body:          []byte("grade A"),
	}
}

func requireAnswer(t *testing.T, a anvilmodel.Answer, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
	if a.RequestID != "r-1" || len(a.Parts) != 1 || string(a.Parts[0].Body) != "grade A" {
		t.Fatalf("got %+v", a)
	}
}

// TestFailover guards against a client that fails a request, or sends more
// requests to a failed node, while another node works.
func TestFailover(t *testing.T) {
	nodes := startNodes(t, 3)
	client := startClient(t, nodes...)
	if _, err := client.Addresses(t.Context()); err != nil {
		t.Fatal(err)
	}
	nodes[0].server.Close()
	nodes[1].query = func(anvilwire.Query) *fakeReply { return nil }
	for range 2 {
		a, err := client.Query(t.Context(), request(false))
		requireAnswer(t, a, err)
	}
	if n := len(nodes[1].receivedQueries()); n != 1 {
		t.Errorf("the node that breaks connections got %d requests with one address list, want 1", n)
	}
}

// TestAddressesAreCached guards against a client that fetches the address list
// for each request, and against one that uses a list after its lifetime.
func TestAddressesAreCached(t *testing.T) {
	nodes := startNodes(t, 2)
	client := startClient(t, nodes[0])
	for range 3 {
		a, err := client.Query(t.Context(), request(false))
		requireAnswer(t, a, err)
	}
	if n := nodes[0].addressRequestCount(); n != 1 {
		t.Errorf("3 requests fetched the address list %d times, want 1", n)
	}
	for _, n := range nodes {
		n.lifetime = 0
	}
	uncached := startClient(t, nodes[0])
	for range 3 {
		a, err := uncached.Query(t.Context(), request(false))
		requireAnswer(t, a, err)
	}
	if n := nodes[0].addressRequestCount(); n != 4 {
		t.Errorf("3 requests with expired lists fetched the address list %d times, want 3", n-1)
	}
	nodes[0].server.Close()
	a, err := uncached.Query(t.Context(), request(false))
	requireAnswer(t, a, err)
	if n := nodes[1].addressRequestCount(); n == 0 {
		t.Error("the address list was not fetched from another node after the seed had stopped")
	}
}

// TestRefusalsAreRetriedOnce guards against a client that tries every node when all
// of them refuse a request, and against one that tries another node although the
// reason of the refusal does not allow it.
func TestRefusalsAreRetriedOnce(t *testing.T) {
	for _, reason := range []anvilmodel.RefusalReason{
		anvilmodel.ReasonLeaving, anvilmodel.ReasonNotReady, anvilmodel.ReasonOverload, anvilmodel.ReasonFailureDomainOut,
		anvilmodel.ReasonDeadline, anvilmodel.ReasonUnknownClass, anvilmodel.ReasonShed,
	} {
		nodes := startNodes(t, 3)
		client := startClient(t, nodes[0])
		nodes[0].query = refuseWith(reason, anvilmodel.RunStateNotRun)
		nodes[1].query = nodes[0].query
		_, err := client.Query(t.Context(), request(false))
		var refusal *anvilmodel.Refusal
		if !errors.As(err, &refusal) || refusal.Reason != reason {
			t.Errorf("%s: got %v", reason, err)
		}
		want := 0
		if slices.Contains([]anvilmodel.RefusalReason{
			anvilmodel.ReasonLeaving, anvilmodel.ReasonNotReady, anvilmodel.ReasonOverload, anvilmodel.ReasonFailureDomainOut,
		}, reason) {
			want = 1
		}
		if n := len(nodes[1].receivedQueries()); n != want {
			t.Errorf("%s: the second node got %d requests, want %d", reason, n, want)
		}
		if n := len(nodes[2].receivedQueries()); n != 0 {
			t.Errorf("%s: the third node got %d requests, want 0", reason, n)
		}
	}
}

// damagedReplies returns functions that answer a query with a reply that the
// client must reject.
func damagedReplies() map[string]func(q anvilwire.Query) *fakeReply {
	tampered := func(tamper func(h http.Header, body []byte) []byte) func(anvilwire.Query) *fakeReply {
		return func(q anvilwire.Query) *fakeReply {
			r := echoAnswer(q)
			r.tamper = tamper
			return r
		}
	}
	return map[string]func(anvilwire.Query) *fakeReply{
		"crossed headers": tampered(func(h http.Header, body []byte) []byte {
			h.Set(anvilwire.HeaderRequestID, "r-2")
			return body
		}),
		"truncated":          tampered(func(_ http.Header, body []byte) []byte { return body[:len(body)-1] }),
		"without a checksum": tampered(func(h http.Header, body []byte) []byte { h.Del(anvilwire.HeaderChecksum); return body }),
		"corrupt": tampered(func(_ http.Header, body []byte) []byte {
			body[len(body)/2] ^= 1
			return body
		}),
		"crossed body": func(q anvilwire.Query) *fakeReply {
			r := echoAnswer(q)
			r.answer.RequestID = "r-2"
			return r
		},
		"false coverage": func(q anvilwire.Query) *fakeReply {
			r := echoAnswer(q)
			r.answer.Coverage.Covered = 2
			r.answer.Coverage.Total = 2
			return r
		},
	}
}

// TestWrongAnswersAreDetected guards against accepting an answer that is
// incomplete, belongs to another request or has a coverage that contradicts its
// parts (requirements R2 and R5).
func TestWrongAnswersAreDetected(t *testing.T) {
	for name, damagedReply := range damagedReplies() {
		nodes := startNodes(t, 2)
		nodes[0].query = damagedReply
		client := startClient(t, nodes[0])
		a, err := client.Query(t.Context(), request(false))
		requireAnswer(t, a, err)
		nodes[1].query = damagedReply
		if _, err := client.Query(t.Context(), request(false)); !errorx.IsOfType(err, anvilcaller.BadReply) {
			t.Errorf("%s: got %v", name, err)
		}
	}
}

// TestNoNodeAnswers guards against errors of the wrong type when no node can be
// reached, and against requests without a timeout.
func TestNoNodeAnswers(t *testing.T) {
	nodes := startNodes(t, 1)
	client := startClient(t, nodes...)
	if _, err := client.Addresses(t.Context()); err != nil {
		t.Fatal(err)
	}
	nodes[0].server.Close()
	if _, err := client.Query(t.Context(), request(false)); !errorx.IsOfType(err, anvilcaller.Unreachable) {
		t.Errorf("all nodes stopped: got %v", err)
	}
	unresolved := anvilcaller.New(anvilcaller.Config{
		Seeds: []netip.AddrPort{nodes[0].member.CallerAddress},
	})
	defer unresolved.Shutdown()
	if _, err := unresolved.Query(t.Context(), request(true)); !errorx.IsOfType(err, anvilcaller.Unreachable) {
		t.Errorf("no address list: got %v", err)
	}
	r := request(false)
	r.Timeout = 0
	if _, err := client.Query(t.Context(), r); !errorx.IsOfType(err, anvilcaller.BadRequest) {
		t.Errorf("request without a timeout: got %v", err)
	}
}

// TestSlowNode guards against a request that does not end at its timeout.
func TestSlowNode(t *testing.T) {
	nodes := startNodes(t, 1)
	release := make(chan struct{})
	nodes[0].query = func(q anvilwire.Query) *fakeReply {
		<-release
		return echoAnswer(q)
	}
	defer close(release)
	client := startClient(t, nodes...)
	if _, err := client.Addresses(t.Context()); err != nil {
		t.Fatal(err)
	}
	r := request(false)
	r.Timeout = 20 * time.Millisecond
	if _, err := client.Query(t.Context(), r); !errorx.IsOfType(err, anvilcaller.TimedOut) {
		t.Errorf("got %v", err)
	}
}
