package anvilserver_test

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/rs/zerolog"
	"go.uber.org/goleak"

	"anvilbridge/anvilmodel"
	"anvilbridge/anvilserver"
	"anvilbridge/anvilwire"
)

// TestMain guards against connections and handlers that outlive a server.
func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

const (
	generous  = time.Minute
	bodyLimit = 100
	ticket    = "1.2.00112233445566778899aabbccddeeff"
)

var errCut = errors.New("the connection ended without a reply")

// node is a server on a loopback address whose node is a function of the test.
type node struct {
	*anvilserver.Server
	t       *testing.T
	address string
	leaving atomic.Bool
	// query answers a query; by default the answer has the body as its only part.
	query func(ctx context.Context, q anvilwire.Query) (*anvilmodel.Answer, *anvilmodel.Refusal)

	mu       sync.Mutex
	observed []string
	log      bytes.Buffer
}

func (n *node) start(t *testing.T) *node {
	t.Helper()
	n.t = t
	if n.query == nil {
		n.query = func(_ context.Context, q anvilwire.Query) (*anvilmodel.Answer, *anvilmodel.Refusal) {
			return &anvilmodel.Answer{
				RequestID: q.ID,
				Snapshot:  1,
				Coverage:  anvilmodel.Coverage{Covered: 1, Total: 1},
				Parts:     []anvilmodel.Part{{Body: q.Body}},
			}, nil
		}
	}
	n.Server = anvilserver.New(anvilserver.Config{
		Admit: func(q anvilwire.Query) (anvilserver.QueryFunc, *anvilmodel.Refusal) {
			return func(ctx context.Context) (*anvilmodel.Answer, *anvilmodel.Refusal) { return n.query(ctx, q) }, nil
		},
		Refuse: func(ticket anvilmodel.Ticket, r *anvilmodel.Refusal) *anvilmodel.Refusal {
			if !ticket.IsZero() {
				r.RunState = anvilmodel.RunStateUnknown
			}
			return r
		},
		Outcome:      func(context.Context, anvilmodel.Ticket) anvilwire.Outcome { panic("broken outcome") },
		Addresses:    func(anvilmodel.FailureDomain) anvilwire.AddressList { return anvilwire.AddressList{} },
		Status:       func() ([]byte, error) { return nil, errors.New("broken status") },
		Ready:        func() string { return "not yet" },
		Leaving:      n.leaving.Load,
		MaxBodyBytes: func() int { return bodyLimit },
		Observe: func(r anvilserver.QueryResult) {
			n.mu.Lock()
			defer n.mu.Unlock()
			n.observed = append(n.observed, r.Outcome())
		},
		Metrics: http.NotFoundHandler(),
		Log:     zerolog.New(zerolog.SyncWriter(&n.log)),
	})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	n.address = l.Addr().String()
	served := make(chan struct{})
	go func() {
		defer close(served)
		_ = n.Serve(l)
	}()
	t.Cleanup(func() {
		_ = n.Close()
		<-served
	})
	return n
}

// headers are those of a good query with changes, which may remove one by an empty
// value.
func headers(changes ...string) string {
	h := map[string]string{
		anvilwire.HeaderRequestID: "request-1",
		anvilwire.HeaderService:   "lots",
		anvilwire.HeaderClass:     "broad",
		anvilwire.HeaderTimeout:   "1m",
	}
	for i := 0; i < len(changes); i += 2 {
		h[changes[i]] = changes[i+1]
	}
	text := "POST /v1/query HTTP/1.1\r\nHost: node\r\n"
	for name, value := range h {
		if value != "" {
			text += name + ": " + value + "\r\n"
		}
	}
	return text
}

func withBody(head, body string) string {
	return fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, len(body), body)
}

// connection speaks HTTP by hand, so that a request can stop in the middle.
type connection struct {
	net.Conn
	t      *testing.T
	reader *bufio.Reader
}

func (n *node) connect() *connection {
	n.t.Helper()
	c, err := net.Dial("tcp", n.address)
	if err != nil {
		n.t.Fatal(err)
	}
	n.t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(generous))
	return &connection{
		Conn:   c,
		t:      n.t,
		reader: bufio.NewReader(c),
	}
}

func (c *connection) write(text string) *connection {
	c.t.Helper()
	if _, err := io.WriteString(c, text); err != nil {
		c.t.Fatal(err)
	}
	return c
}

// reply is what came over a connection.
type reply struct {
	status  int
	closes  bool
	answer  *anvilmodel.Answer
	refusal *anvilmodel.Refusal
	err     error
}

// read returns the next reply.
func (c *connection) read() reply {
	c.t.Helper()
	resp, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return reply{err: errCut}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		c.t.Fatal(err)
	}
	r := reply{
		status: resp.StatusCode,
		closes: resp.Close,
	}
	if r.err = anvilwire.VerifyIntegrity(resp.Header, body); r.err == nil {
		r.answer, r.refusal, r.err = anvilwire.DecodeRecord(body)
	}
	return r
}

// TestRefusedRequests guards against requests that are run although a part of them
// is missing, wait for a body that does not come, or are refused without their
// reason; and against a server that serves no more afterwards.
func TestRefusedRequests(t *testing.T) {
	n := (&node{}).start(t)
	refused := func(text string, reason anvilmodel.RefusalReason, ran anvilmodel.RunState, id anvilmodel.RequestID) {
		t.Helper()
		r := n.connect().write(text).read()
		if r.refusal == nil || r.refusal.Reason != reason || r.refusal.RunState != ran || r.refusal.RequestID != id ||
			r.refusal.Detail == "" || r.refusal.Accepted == "" {
			t.Errorf("%+v, %+v; want %s %s", r, r.refusal, reason, ran)
		}
	}
	const notRun = anvilmodel.RunStateNotRun
	unfinished := "Content-Length: 90\r\n\r\nstart"
	refused(withBody(headers(), strings.Repeat("b", bodyLimit+1)), anvilmodel.ReasonBodyTooLarge, notRun, "request-1")
	refused(headers()+"Transfer-Encoding: chunked\r\n\r\nff\r\n"+strings.Repeat("b", 255)+"\r\n", anvilmodel.ReasonBodyTooLarge, notRun, "request-1")
	refused(headers(anvilwire.HeaderTimeout, "50ms")+unfinished, anvilmodel.ReasonDeadline, notRun, "request-1")
	refused(headers(anvilwire.HeaderTimeout, "50ms", anvilwire.HeaderTicket, ticket)+unfinished, anvilmodel.ReasonDeadline, anvilmodel.RunStateUnknown, "request-1")
	refused(headers(anvilwire.HeaderClass, "")+unfinished, anvilmodel.ReasonBadRequest, notRun, "request-1")
	refused(withBody(headers(anvilwire.HeaderClass, "", "Connection", "close"), strings.Repeat("b", 900<<10)), anvilmodel.ReasonBadRequest, notRun, "request-1")
	refused(withBody(headers(anvilwire.HeaderRequestID, "a b"), ""), anvilmodel.ReasonBadRequest, notRun, "")
	refused(strings.Replace(withBody(headers(), ""), "POST", "PATCH", 1), anvilmodel.ReasonBadRequest, notRun, "request-1")
	if r := n.connect().write(withBody(headers(), "body")).read(); r.answer == nil || string(r.answer.Parts[0].Body) != "body" {
		t.Errorf("%+v", r)
	}
	want := []string{"body-too-large", "body-too-large", "deadline", "deadline", "bad-request", "bad-request", "bad-request", "answer"}
	if diff := cmp.Diff(want, n.observed); diff != "" {
		t.Errorf("observed: %s", diff)
	}
}

// TestBodyDeadlineEnds guards against a query that is given up as if its caller had
// left, because the deadline of its body is still set on the connection.
func TestBodyDeadlineEnds(t *testing.T) {
	n := (&node{
		query: func(ctx context.Context, q anvilwire.Query) (*anvilmodel.Answer, *anvilmodel.Refusal) {
			select {
			case <-ctx.Done():
				return nil, &anvilmodel.Refusal{RequestID: q.ID, Reason: anvilmodel.ReasonDeadline}
			case <-time.After(3 * time.Second):
				return &anvilmodel.Answer{RequestID: q.ID}, nil
			}
		},
	}).start(t)
	c := n.connect()
	if r := c.write(withBody(headers(anvilwire.HeaderTimeout, "2s"), "body")).read(); r.answer == nil {
		t.Errorf("%+v", r)
	}
}

// TestPanics guards against a fault in one request that ends the process, leaves
// its caller without a reply, or is called not-run.
func TestPanics(t *testing.T) {
	n := (&node{
		query: func(context.Context, anvilwire.Query) (*anvilmodel.Answer, *anvilmodel.Refusal) {
			panic("broken query")
		},
	}).start(t)
	c := n.connect()
	for range 2 {
		r := c.write(withBody(headers(), "body")).read()
		if r.refusal == nil || r.refusal.RunState != anvilmodel.RunStateUnknown || r.refusal.RequestID != "request-1" {
			t.Errorf("%+v", r)
		}
	}
	for path, want := range map[string]int{
		"/v1/outcome?ticket=" + ticket: 500,
		"/v1/status":                   500,
		"/readyz":                      503,
		"/healthz":                     200,
	} {
		if r := c.write("GET " + path + " HTTP/1.1\r\nHost: node\r\n\r\n").read(); r.status != want {
			t.Errorf("%s: %+v, want status %d", path, r, want)
		}
	}
	if text := n.log.String(); !strings.Contains(text, "broken query") || !strings.Contains(text, "broken outcome") {
		t.Errorf("log: %s", text)
	}
}

// TestDrain guards against replies that a shutdown cuts off, against connections
// that callers go on using at a node that is leaving, and against a wait for
// connections without a request.
func TestDrain(t *testing.T) {
	release := make(chan struct{})
	entered := make(chan struct{}, 1)
	n := (&node{
		query: func(_ context.Context, q anvilwire.Query) (*anvilmodel.Answer, *anvilmodel.Refusal) {
			entered <- struct{}{}
			<-release
			return &anvilmodel.Answer{RequestID: q.ID}, nil
		},
	}).start(t)
	n.connect()
	busy := n.connect().write(withBody(headers(), "body"))
	<-entered
	drained := make(chan struct{})
	go func() {
		defer close(drained)
		n.Drain(context.Background())
	}()
	for refused := false; !refused; {
		c, err := net.Dial("tcp", n.address)
		if refused = err != nil; !refused {
			_ = c.Close()
		}
	}
	select {
	case <-drained:
		t.Error("drained with a request under way")
	default:
	}
	n.leaving.Store(true)
	close(release)
	<-drained
	_ = n.Close()
	if r := busy.read(); r.answer == nil {
		t.Errorf("%+v", r)
	}

	leaving := (&node{}).start(t)
	leaving.leaving.Store(true)
	if r := leaving.connect().write(withBody(headers(), "body")).read(); r.answer == nil || !r.closes {
		t.Errorf("%+v, want an answer and the connection closed", r)
	}
}

// TestLimit guards against queries that pass although the node does not admit
// them, and against queries that cannot be decoded and take up room.
func TestLimit(t *testing.T) {
	admitted, queried := 0, 0
	server := anvilserver.New(anvilserver.Config{
		Admit: func(q anvilwire.Query) (anvilserver.QueryFunc, *anvilmodel.Refusal) {
			admitted++
			if admitted == 1 {
				return func(context.Context) (*anvilmodel.Answer, *anvilmodel.Refusal) {
					queried++
					return &anvilmodel.Answer{RequestID: q.ID}, nil
				}, nil
			}
			return nil, &anvilmodel.Refusal{RequestID: q.ID, Reason: anvilmodel.ReasonOverload, RunState: anvilmodel.RunStateNotRun}
		},
		Refuse:       func(_ anvilmodel.Ticket, r *anvilmodel.Refusal) *anvilmodel.Refusal { return r },
		MaxBodyBytes: func() int { return 1 << 10 },
		Observe:      func(anvilserver.QueryResult) {},
		Metrics:      http.NotFoundHandler(),
		Leaving:      func() bool { return false },
		Log:          zerolog.Nop(),
	})
	var handler http.Handler
	server.Use(func(h http.Handler) http.Handler {
		handler = h
		return h
	})
	statuses := []int{}
	for _, timeout := range []time.Duration{time.Second, -time.Second, time.Second} {
		q := anvilwire.Query{ID: "r", Service: "s", Class: "c", Timeout: timeout}
		r := httptest.NewRequest(http.MethodPost, anvilwire.PathQuery, http.NoBody)
		r.Header = q.Header()
		w := httptest.NewRecorder()
		handler.ServeHTTP(w, r)
		statuses = append(statuses, w.Code)
	}
	if diff := cmp.Diff([]int{http.StatusOK, http.StatusBadRequest, anvilwire.RefusalStatus(anvilmodel.ReasonOverload)}, statuses); diff != "" || admitted != 2 || queried != 1 {
		t.Errorf("admitted %d, queried %d, statuses (-want +got):\n%s", admitted, queried, diff)
	}
}
