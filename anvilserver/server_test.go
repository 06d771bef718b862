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
	testTimeout = time.Minute
	bodyLimit   = 100
	ticket      = "1.2.00112233445566778899aabbccddeeff"
)

var errNoReply = errors.New("the connection ended without a reply")

// testServer is a server on a loopback address. Functions of the test take the place of
// the node.
type testServer struct {
	*anvilserver.Server
	t       *testing.T
	address string
	leaving atomic.Bool
	// answer answers a query. The default answer has the query's body as its only part.
	answer func(ctx context.Context, q anvilwire.Query) (*anvilmodel.Answer, *anvilmodel.Refusal)

	mu       sync.Mutex
	observed []string
	log      bytes.Buffer
}

func (n *testServer) start(t *testing.T) *testServer {
	t.Helper()
	n.t = t
	if n.answer == nil {
		n.answer = func(_ context.Context, q anvilwire.Query) (*anvilmodel.Answer, *anvilmodel.Refusal) {
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
			return func(ctx context.Context) (*anvilmodel.Answer, *anvilmodel.Refusal) { return n.answer(ctx, q) }, nil
		},
		AdjustRefusal: func(ticket anvilmodel.Ticket, r *anvilmodel.Refusal) *anvilmodel.Refusal {
			if !ticket.IsZero() {
				r.RunState = anvilmodel.RunStateUnknown
			}
			return r
		},
		FindOutcome:     func(context.Context, anvilmodel.Ticket) anvilwire.Outcome { panic("broken outcome") },
		ChooseAddresses: func(anvilmodel.FailureDomain) anvilwire.AddressList { return anvilwire.AddressList{} },
		EncodeStatus:    func() ([]byte, error) { return nil, errors.New("broken status") },
		NotReadyReason:  func() string { return "not yet" },
		Leaving:         n.leaving.Load,
		MaxBodyBytes:    func() int { return bodyLimit },
		ObserveQuery: func(r anvilserver.QueryResult) {
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

// requestHead returns the request line and headers of a valid query. The changes are
// pairs of header and value; an empty value removes the header.
func requestHead(changes ...string) string {
	fields := map[string]string{
		anvilwire.HeaderRequestID: "request-1",
		anvilwire.HeaderService:   "lots",
		anvilwire.HeaderClass:     "broad",
		anvilwire.HeaderTimeout:   "1m",
	}
	for i := 0; i < len(changes); i += 2 {
		fields[changes[i]] = changes[i+1]
	}
	text := "POST /v1/query HTTP/1.1\r\nHost: node\r\n"
	for name, value := range fields {
		if value != "" {
			text += name + ": " + value + "\r\n"
		}
	}
	return text
}

func withBody(head, body string) string {
	return fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, len(body), body)
}

// rawConnection is a connection on which tests write requests as text, so that a
// request can stop in the middle.
type rawConnection struct {
	net.Conn
	t      *testing.T
	reader *bufio.Reader
}

func (n *testServer) connect() *rawConnection {
	n.t.Helper()
	c, err := net.Dial("tcp", n.address)
	if err != nil {
		n.t.Fatal(err)
	}
	n.t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(testTimeout))
	return &rawConnection{
		Conn:   c,
		t:      n.t,
		reader: bufio.NewReader(c),
	}
}

func (c *rawConnection) write(text string) *rawConnection {
	c.t.Helper()
	if _, err := io.WriteString(c, text); err != nil {
		c.t.Fatal(err)
	}
	return c
}

// reply is a reply read from a connection.
type reply struct {
	status  int
	closes  bool
	answer  *anvilmodel.Answer
	refusal *anvilmodel.Refusal
	err     error
}

// read returns the next reply.
func (c *rawConnection) read() reply {
	c.t.Helper()
	resp, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return reply{err: errNoReply}
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

// TestRefusedRequests guards against requests that are run although a part of them is
// missing, that wait for a body that does not arrive, or that are refused without a
// reason. It also guards against a server that serves no further requests afterwards.
func TestRefusedRequests(t *testing.T) {
	n := (&testServer{}).start(t)
	expectRefusal := func(text string, reason anvilmodel.RefusalReason, runState anvilmodel.RunState, id anvilmodel.RequestID) {
		t.Helper()
		r := n.connect().write(text).read()
		if r.refusal == nil || r.refusal.Reason != reason || r.refusal.RunState != runState || r.refusal.RequestID != id ||
			r.refusal.Detail == "" || r.refusal.Accepted == "" {
			t.Errorf("%+v, %+v; want %s %s", r, r.refusal, reason, runState)
		}
	}
	const notRun = anvilmodel.RunStateNotRun
	unfinished := "Content-Length: 90\r\n\r\nstart"
	expectRefusal(withBody(requestHead(), strings.Repeat("b", bodyLimit+1)), anvilmodel.ReasonBodyTooLarge, notRun, "request-1")
	expectRefusal(requestHead()+"Transfer-Encoding: chunked\r\n\r\nff\r\n"+strings.Repeat("b", 255)+"\r\n", anvilmodel.ReasonBodyTooLarge, notRun, "request-1")
	expectRefusal(requestHead(anvilwire.HeaderTimeout, "50ms")+unfinished, anvilmodel.ReasonDeadline, notRun, "request-1")
	expectRefusal(requestHead(anvilwire.HeaderTimeout, "50ms", anvilwire.HeaderTicket, ticket)+unfinished, anvilmodel.ReasonDeadline, anvilmodel.RunStateUnknown, "request-1")
	expectRefusal(requestHead(anvilwire.HeaderClass, "")+unfinished, anvilmodel.ReasonBadRequest, notRun, "request-1")
	expectRefusal(withBody(requestHead(anvilwire.HeaderClass, "", "Connection", "close"), strings.Repeat("b", 900<<10)), anvilmodel.ReasonBadRequest, notRun, "request-1")
	expectRefusal(withBody(requestHead(anvilwire.HeaderRequestID, "a b"), ""), anvilmodel.ReasonBadRequest, notRun, "")
	expectRefusal(strings.Replace(withBody(requestHead(), ""), "POST", "PATCH", 1), anvilmodel.ReasonBadRequest, notRun, "request-1")
	if r := n.connect().write(withBody(requestHead(), "body")).read(); r.answer == nil || string(r.answer.Parts[0].Body) != "body" {
		t.Errorf("%+v", r)
	}
	want := []string{"body-too-large", "body-too-large", "deadline", "deadline", "bad-request", "bad-request", "bad-request", "answer"}
	if diff := cmp.Diff(want, n.observed); diff != "" {
		t.Errorf("observed: %s", diff)
	}
}

// TestBodyDeadlineCleared guards against a read deadline that is still set after the
// body has arrived. When it expires, the query is abandoned as if its caller had
// disconnected.
func TestBodyDeadlineCleared(t *testing.T) {
	n := (&testServer{
		answer: func(ctx context.Context, q anvilwire.Query) (*anvilmodel.Answer, *anvilmodel.Refusal) {
			select {
			case <-ctx.Done():
				return nil, &anvilmodel.Refusal{RequestID: q.ID, Reason: anvilmodel.ReasonDeadline}
			case <-time.After(3 * time.Second):
				return &anvilmodel.Answer{RequestID: q.ID}, nil
			}
		},
	}).start(t)
	c := n.connect()
	if r := c.write(withBody(requestHead(anvilwire.HeaderTimeout, "2s"), "body")).read(); r.answer == nil {
		t.Errorf("%+v", r)
	}
}

// TestPanicRecovery guards against a panic in one request that ends the process, leaves
// the caller without a reply, or is reported as not-run.
func TestPanicRecovery(t *testing.T) {
	n := (&testServer{
		answer: func(context.Context, anvilwire.Query) (*anvilmodel.Answer, *anvilmodel.Refusal) {
			panic("broken query")
		},
	}).start(t)
	c := n.connect()
	for range 2 {
		r := c.write(withBody(requestHead(), "body")).read()
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

// TestDrain guards against replies that a shutdown cuts off, against connections that
// stay open for further requests while the node is leaving, and against waiting for
// connections without a request.
func TestDrain(t *testing.T) {
	release := make(chan struct{})
	started := make(chan struct{}, 1)
	n := (&testServer{
		answer: func(_ context.Context, q anvilwire.Query) (*anvilmodel.Answer, *anvilmodel.Refusal) {
			started <- struct{}{}
			<-release
			return &anvilmodel.Answer{RequestID: q.ID}, nil
		},
	}).start(t)
	n.connect()
	active := n.connect().write(withBody(requestHead(), "body"))
	<-started
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
		t.Error("Drain returned with a request in progress")
	default:
	}
	n.leaving.Store(true)
	close(release)
	<-drained
	_ = n.Close()
	if r := active.read(); r.answer == nil {
		t.Errorf("%+v", r)
	}

	leaving := (&testServer{}).start(t)
	leaving.leaving.Store(true)
	if r := leaving.connect().write(withBody(requestHead(), "body")).read(); r.answer == nil || !r.closes {
		t.Errorf("%+v, want an answer and the connection closed", r)
	}
}

// TestAdmission guards against queries that run although the node does not admit them,
// and against admission of queries that cannot be decoded.
func TestAdmission(t *testing.T) {
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
		AdjustRefusal: func(_ anvilmodel.Ticket, r *anvilmodel.Refusal) *anvilmodel.Refusal { return r },
		MaxBodyBytes:  func() int { return 1 << 10 },
		ObserveQuery:  func(anvilserver.QueryResult) {},
		Metrics:       http.NotFoundHandler(),
		Leaving:       func() bool { return false },
		Log:           zerolog.Nop(),
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
