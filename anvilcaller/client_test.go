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
		DialTimeout:    longEnough,
		AddressTimeout: longEnough,
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
		Timeout:       longEnough,
		NonIdempotent: nonIdempotent,
		Body:          []byte("grade A"),
	}
}

func wantAnswer(t *testing.T, a anvilmodel.Answer, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
	if a.RequestID != "r-1" || len(a.Parts) != 1 || string(a.Parts[0].Body) != "grade A" {
		t.Fatalf("got %+v", a)
	}
}

// TestFailover guards against a caller that gives up, or that asks a dead node
// again, while another node works.
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
		wantAnswer(t, a, err)
	}
	if n := len(nodes[1].seen()); n != 1 {
		t.Errorf("the node that breaks connections was asked %d times before the next address answer", n)
	}
}

// TestAddressesAreCached guards against a caller that asks for addresses for
// each request, and against one that uses an answer past its lifetime.
func TestAddressesAreCached(t *testing.T) {
	nodes := startNodes(t, 2)
	client := startClient(t, nodes[0])
	for range 3 {
		a, err := client.Query(t.Context(), request(false))
		wantAnswer(t, a, err)
	}
	if n := nodes[0].addressQueries(); n != 1 {
		t.Errorf("3 requests made %d address queries", n)
	}
	for _, n := range nodes {
		n.lifetime = 0
	}
	other := startClient(t, nodes[0])
	for range 3 {
		a, err := other.Query(t.Context(), request(false))
		wantAnswer(t, a, err)
	}
	if n := nodes[0].addressQueries(); n != 4 {
		t.Errorf("3 requests with expired answers made %d address queries", n-1)
	}
	nodes[0].server.Close()
	a, err := other.Query(t.Context(), request(false))
	wantAnswer(t, a, err)
	if n := nodes[1].addressQueries(); n == 0 {
		t.Error("with the seed dead no other known node was asked for addresses")
	}
}

// TestRefusalsMoveOnOnce guards against a caller that carries its request
// through a whole fleet that refuses it, and against one that moves on after a
// refusal that is final.
func TestRefusalsMoveOnOnce(t *testing.T) {
	for _, reason := range []anvilmodel.RefusalReason{
		anvilmodel.ReasonLeaving, anvilmodel.ReasonNotReady, anvilmodel.ReasonOverload, anvilmodel.ReasonFailureDomainOut,
		anvilmodel.ReasonDeadline, anvilmodel.ReasonUnknownClass, anvilmodel.ReasonShed,
	} {
		nodes := startNodes(t, 3)
		client := startClient(t, nodes[0])
		nodes[0].query = refused(reason, anvilmodel.RunStateNotRun)
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
		if n := len(nodes[1].seen()); n != want {
			t.Errorf("%s: the second node was asked %d times, want %d", reason, n, want)
		}
		if n := len(nodes[2].seen()); n != 0 {
			t.Errorf("%s: the third node was asked %d times", reason, n)
		}
	}
}

// damages returns the ways in which an answer can be wrong.
func damages() map[string]func(q anvilwire.Query) *fakeReply {
	changed := func(change func(h http.Header, body []byte) []byte) func(anvilwire.Query) *fakeReply {
		return func(q anvilwire.Query) *fakeReply {
			r := answered(q)
			r.change = change
			return r
		}
	}
	return map[string]func(anvilwire.Query) *fakeReply{
		"crossed headers": changed(func(h http.Header, body []byte) []byte {
			h.Set(anvilwire.HeaderRequestID, "r-2")
			return body
		}),
		"truncated":          changed(func(_ http.Header, body []byte) []byte { return body[:len(body)-1] }),
		"without a checksum": changed(func(h http.Header, body []byte) []byte { h.Del(anvilwire.HeaderChecksum); return body }),
		"corrupt": changed(func(_ http.Header, body []byte) []byte {
			body[len(body)/2] ^= 1
			return body
		}),
		"crossed body": func(q anvilwire.Query) *fakeReply {
			r := answered(q)
			r.answer.RequestID = "r-2"
			return r
		},
		"false coverage": func(q anvilwire.Query) *fakeReply {
			r := answered(q)
			r.answer.Coverage.Covered = 2
			r.answer.Coverage.Total = 2
			return r
		},
	}
}

// TestWrongAnswersAreDetected guards against an answer that is not whole, not
// the request's own or untrue in its coverage (R2, R5).
func TestWrongAnswersAreDetected(t *testing.T) {
	for name, damage := range damages() {
		nodes := startNodes(t, 2)
		nodes[0].query = damage
		client := startClient(t, nodes[0])
		a, err := client.Query(t.Context(), request(false))
		wantAnswer(t, a, err)
		nodes[1].query = damage
		if _, err := client.Query(t.Context(), request(false)); !errorx.IsOfType(err, anvilcaller.BadReply) {
			t.Errorf("%s: got %v", name, err)
		}
	}
}

// TestNobodyAnswers guards against errors without a type when the whole fleet
// is gone, and against requests without a bound.
func TestNobodyAnswers(t *testing.T) {
	nodes := startNodes(t, 1)
	client := startClient(t, nodes...)
	if _, err := client.Addresses(t.Context()); err != nil {
		t.Fatal(err)
	}
	nodes[0].server.Close()
	if _, err := client.Query(t.Context(), request(false)); !errorx.IsOfType(err, anvilcaller.Unreachable) {
		t.Errorf("dead fleet: got %v", err)
	}
	silent := anvilcaller.New(anvilcaller.Config{
		Seeds: []netip.AddrPort{nodes[0].member.CallerAddress},
	})
	defer silent.Shutdown()
	if _, err := silent.Query(t.Context(), request(true)); !errorx.IsOfType(err, anvilcaller.Unreachable) {
		t.Errorf("no address: got %v", err)
	}
	r := request(false)
	r.Timeout = 0
	if _, err := client.Query(t.Context(), r); !errorx.IsOfType(err, anvilcaller.BadRequest) {
		t.Errorf("request without a timeout: got %v", err)
	}
}

// TestSlowNode guards against a request that outlives its timeout.
func TestSlowNode(t *testing.T) {
	nodes := startNodes(t, 1)
	release := make(chan struct{})
	nodes[0].query = func(q anvilwire.Query) *fakeReply {
		<-release
		return answered(q)
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
