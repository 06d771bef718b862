package anvilcaller_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"

	"anvilbridge/anvilmodel"
	"anvilbridge/anvilwire"
)

// TestMain guards against connections and address queries that outlive a client.
func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

// testTimeout is longer than any test runs, so that timeouts do not affect it.
const testTimeout = time.Hour

// fakeNode is a fake of a node; tests set the functions that produce its replies.
type fakeNode struct {
	server *httptest.Server
	member anvilmodel.Member
	// query returns the reply to a query; nil closes the connection instead.
	query func(q anvilwire.Query) *fakeReply
	// outcome returns the reply to an outcome query.
	outcome func(t anvilmodel.Ticket) anvilwire.Outcome

	mu              sync.Mutex
	listed          []anvilmodel.Member
	lifetime        time.Duration
	addressRequests int
	queries         []anvilwire.Query
}

// fakeReply is the reply of a fake node. If tamper is set, it may change the
// headers and returns the body to send.
type fakeReply struct {
	answer  *anvilmodel.Answer
	refusal *anvilmodel.Refusal
	tamper  func(h http.Header, body []byte) []byte
}

// startNodes starts nodes whose address lists name all of them in order.
func startNodes(t *testing.T, count int) []*fakeNode {
	t.Helper()
	nodes := make([]*fakeNode, count)
	var members []anvilmodel.Member
	for i := range nodes {
		n := &fakeNode{
			query:    echoAnswer,
			lifetime: testTimeout,
		}
		mux := http.NewServeMux()
		mux.HandleFunc("GET "+anvilwire.PathAddresses, n.serveAddresses)
		mux.HandleFunc("POST "+anvilwire.PathQuery, n.serveQuery)
		mux.HandleFunc("GET "+anvilwire.PathOutcome, n.serveOutcome)
		n.server = httptest.NewServer(mux)
		t.Cleanup(n.server.Close)
		n.member = anvilmodel.Member{
			Name:          anvilmodel.VMName(rune('a' + i)),
			CallerAddress: netip.MustParseAddrPort(n.server.Listener.Addr().String()),
			Incarnation:   anvilmodel.Incarnation(100 + i),
			TicketEpoch:   3,
		}
		members = append(members, n.member)
		nodes[i] = n
	}
	for _, n := range nodes {
		n.listed = members
	}
	return nodes
}

// echoAnswer returns an answer whose only part is the request body.
func echoAnswer(q anvilwire.Query) *fakeReply {
	return &fakeReply{
		answer: &anvilmodel.Answer{
			RequestID: q.ID,
			Snapshot:  1,
			Coverage: anvilmodel.Coverage{
				Covered: 1,
				Total:   1,
			},
			Parts: []anvilmodel.Part{{Body: q.Body}},
		},
	}
}

// refuseWith returns a function that refuses every query with the given reason
// and run state.
func refuseWith(reason anvilmodel.RefusalReason, ran anvilmodel.RunState) func(anvilwire.Query) *fakeReply {
	return func(q anvilwire.Query) *fakeReply {
		return &fakeReply{
			refusal: &anvilmodel.Refusal{
				RequestID: q.ID,
				Reason:    reason,
				RunState:  ran,
			},
		}
	}
}

func (n *fakeNode) serveAddresses(w http.ResponseWriter, _ *http.Request) {
	n.mu.Lock()
	n.addressRequests++
	answer := anvilwire.AddressList{
		Members:  n.listed,
		Lifetime: n.lifetime,
	}
	n.mu.Unlock()
	body, _ := anvilwire.AppendAddresses(nil, &answer)
	_, _ = w.Write(body)
}

func (n *fakeNode) serveQuery(w http.ResponseWriter, r *http.Request) {
	data, _ := io.ReadAll(r.Body)
	q, _ := anvilwire.DecodeQuery(r.Header, data)
	n.mu.Lock()
	n.queries = append(n.queries, q)
	n.mu.Unlock()
	reply := n.query(q)
	if reply == nil {
		panic(http.ErrAbortHandler)
	}
	status := http.StatusOK
	var body []byte
	if reply.refusal != nil {
		status = anvilwire.RefusalStatus(reply.refusal.Reason)
		body, _ = anvilwire.AppendRefusal(nil, reply.refusal)
	} else {
		body, _ = anvilwire.AppendAnswer(nil, reply.answer)
	}
	anvilwire.SetReplyHeader(w.Header(), q.ID, body)
	if reply.tamper != nil {
		body = reply.tamper(w.Header(), body)
	}
	w.WriteHeader(status)
	_, _ = w.Write(body)
}

func (n *fakeNode) serveOutcome(w http.ResponseWriter, r *http.Request) {
	ticket, _ := anvilwire.ParseTicket(r.URL.Query().Get(anvilwire.ParameterTicket))
	outcome := n.outcome(ticket)
	body, _ := anvilwire.AppendOutcome(nil, &outcome)
	anvilwire.SetIntegrity(w.Header(), body)
	_, _ = w.Write(body)
}

func (n *fakeNode) receivedQueries() []anvilwire.Query {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.queries
}

func (n *fakeNode) addressRequestCount() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.addressRequests
}
