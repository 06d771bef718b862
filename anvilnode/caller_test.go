package anvilnode_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/joomcode/errorx"

	"anvilbridge/anvilcaller"
	"anvilbridge/anvilmodel"
	"anvilbridge/anvilstandin"
	"anvilbridge/anvilwire"
)

// query is a query that is sent to one node without the caller's client.
type query struct {
	service anvilmodel.ServiceName
	class   anvilmodel.ClassName
	timeout time.Duration
	key     string
	ticket  anvilmodel.Ticket
	body    string
	// modify, if set, changes the request before it is sent.
	modify func(*http.Request)
}

// reply is a verified reply. Exactly one of answer, refusal and err is set.
type reply struct {
	status  int
	answer  *anvilmodel.Answer
	refusal *anvilmodel.Refusal
	err     error
}

// httpClient does not reuse connections, so that none outlives a test.
var httpClient = http.Client{
	Transport: &http.Transport{
		DisableKeepAlives: true,
	},
}

// send sends a query to a node.
func (f *fleet) send(m *testNode, q query) reply {
	return f.sendContext(context.Background(), m, q)
}

func (f *fleet) sendContext(ctx context.Context, m *testNode, q query) reply {
	if q.timeout == 0 {
		q.timeout = classTimeout
	}
	w := anvilwire.Query{
		ID:      "request-1",
		Service: q.service,
		Class:   q.class,
		Timeout: q.timeout,
		Ticket:  q.ticket,
		Key:     q.key,
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, f.url(m, anvilwire.PathQuery), bytes.NewReader([]byte(q.body)))
	if err != nil {
		f.tb.Fatal(err)
	}
	r.Header = w.Header()
	if q.modify != nil {
		q.modify(r)
	}
	status, header, body, err := doRequest(r)
	if err != nil {
		return reply{err: err}
	}
	if err := anvilwire.VerifyIntegrity(header, body); err != nil {
		return reply{err: fmt.Errorf("status %d: %w", status, err)}
	}
	answer, refusal, err := anvilwire.DecodeRecord(body)
	if answer != nil {
		f.checkAnswer(q.service, []byte(q.body), answer)
	}
	return reply{
		status:  status,
		answer:  answer,
		refusal: refusal,
		err:     err,
	}
}

func (f *fleet) url(m *testNode, path string) string {
	return "http://" + m.listed.CallerAddress.String() + path
}

func doRequest(r *http.Request) (int, http.Header, []byte, error) {
	resp, err := httpClient.Do(r)
	if err != nil {
		return 0, nil, nil, err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return resp.StatusCode, resp.Header, body, err
}

// get reads a path of a node.
func (f *fleet) get(m *testNode, path string) (int, []byte) {
	r, err := http.NewRequestWithContext(context.Background(), http.MethodGet, f.url(m, path), http.NoBody)
	if err != nil {
		f.tb.Fatal(err)
	}
	status, _, body, err := doRequest(r)
	if err != nil {
		f.tb.Fatal(err)
	}
	return status, body
}

// outcome requests the outcome of a ticket from a node.
func (f *fleet) outcome(m *testNode, ticket anvilmodel.Ticket) anvilwire.Outcome {
	_, body := f.get(m, anvilwire.PathOutcome+"?ticket="+anvilwire.FormatTicket(ticket))
	outcome, err := anvilwire.DecodeOutcome(body)
	if err != nil {
		f.tb.Fatalf("decoding outcome: %v: %s", err, body)
	}
	return outcome
}

// advertisedNodes returns the names of the nodes that a node advertises to callers.
func (f *fleet) advertisedNodes(m *testNode) []anvilmodel.VMName {
	_, body := f.get(m, anvilwire.PathAddresses)
	answer, err := anvilwire.DecodeAddresses(body)
	if err != nil {
		f.tb.Fatal(err)
	}
	var names []anvilmodel.VMName
	for _, m := range answer.Members {
		names = append(names, m.Name)
	}
	return names
}

// newTicket returns a new ticket for a node.
func (m *testNode) newTicket(number int) anvilmodel.Ticket {
	s := m.Status()
	return anvilmodel.Ticket{
		Incarnation: s.Incarnation,
		Epoch:       s.Members[0].TicketEpoch,
		ID:          fmt.Sprintf("%032x", number),
	}
}

// checkAnswer checks that an answer has the parts that its coverage states, belongs to
// its own request, and comes from a single snapshot.
func (f *fleet) checkAnswer(service anvilmodel.ServiceName, body []byte, a *anvilmodel.Answer) {
	var shards []anvilmodel.Shard
	for _, p := range a.Parts {
		shards = append(shards, p.Shard)
		expected := anvilstandin.ExpectedPart(service, a.Snapshot, p.Shard, body)
		if !bytes.Equal(expected, p.Body) {
			f.tb.Errorf("shard %d of snapshot %d: body %s, want %s", p.Shard, a.Snapshot, p.Body, expected)
		}
	}
	all := slices.Concat(shards, a.Coverage.Missing)
	slices.Sort(all)
	if len(slices.Compact(all)) != a.Coverage.Total || len(a.Parts) != a.Coverage.Covered {
		f.tb.Errorf("%d parts do not match coverage %+v", len(a.Parts), a.Coverage)
	}
}

// load sends queries through callers' clients until it is stopped.
type load struct {
	fleet   *fleet
	clients []*anvilcaller.Client
	cancel  context.CancelFunc
	workers sync.WaitGroup

	mu sync.Mutex
	// sent, answers, fullCoverage, refused and unknown count requests.
	sent, answers, fullCoverage, refused, unknown int
	// notRun holds the requests that were refused with the run state not-run.
	notRun []anvilmodel.RequestID
	// failed holds errors other than refusals and unknown outcomes.
	failed []error
}

// startLoad starts workers. The first nonIdempotent of them send non-idempotent
// requests.
func (f *fleet) startLoad(workers, nonIdempotent int) *load {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	l := &load{
		fleet:  f,
		cancel: cancel,
	}
	var seeds []netip.AddrPort
	for _, m := range f.nodes {
		seeds = append(seeds, m.listed.CallerAddress)
	}
	for i := range workers {
		client := anvilcaller.New(anvilcaller.Config{
			Seeds:         seeds,
			FailureDomain: domains[i%len(domains)],
			DialTimeout:   classTimeout / 2,
		})
		l.clients = append(l.clients, client)
		l.workers.Add(1)
		go func() {
			defer l.workers.Done()
			for n := 0; ctx.Err() == nil; n++ {
				l.send(client, fmt.Sprintf("load-%d-%d", i, n), i < nonIdempotent)
				time.Sleep(2 * time.Millisecond)
			}
		}()
	}
	return l
}

func (l *load) send(client *anvilcaller.Client, id string, nonIdempotent bool) {
	r := anvilcaller.Request{
		ID:      anvilmodel.RequestID(id),
		Service: serviceLots,
		Class:   "broad",
		Timeout: classTimeout,
		Body:    []byte("lot " + id),
	}
	if nonIdempotent {
		r.Service, r.Class, r.Key, r.NonIdempotent = serviceCertify, "once", id, true
	}
	answer, err := client.Query(context.Background(), r)
	var refusal *anvilmodel.Refusal
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sent++
	switch {
	case err == nil:
		l.answers++
		if len(answer.Coverage.Missing) == 0 {
			l.fullCoverage++
		}
		l.fleet.checkAnswer(r.Service, r.Body, &answer)
	case errorx.IsOfType(err, anvilcaller.UnknownOutcome):
		l.unknown++
	case errors.As(err, &refusal):
		l.refused++
		if refusal.RunState == anvilmodel.RunStateNotRun {
			l.notRun = append(l.notRun, r.ID)
		}
	default:
		l.failed = append(l.failed, err)
	}
}

// awaitAnswers waits until the given number of further requests was answered.
func (l *load) awaitAnswers(answers int) {
	l.fleet.tb.Helper()
	l.mu.Lock()
	target := l.answers + answers
	l.mu.Unlock()
	eventually(l.fleet.tb, fmt.Sprintf("%d answers", target), func() bool {
		l.mu.Lock()
		defer l.mu.Unlock()
		return l.answers >= target
	})
}

// stop ends the load and checks the invariants: every request got an answer, a refusal
// or an unknown outcome, none ran twice, and none that was refused as not-run has run.
func (l *load) stop() {
	l.cancel()
	l.workers.Wait()
	for _, c := range l.clients {
		c.Shutdown()
	}
	f := l.fleet
	for _, err := range l.failed {
		f.tb.Errorf("request without answer, refusal or unknown outcome: %v", err)
	}
	for e, n := range f.cluster.DuplicateExecutions() {
		f.tb.Errorf("%+v ran %d times", e, n)
	}
	ran := make(map[anvilmodel.RequestID]bool)
	for e := range f.cluster.Executions() {
		ran[e.Request] = true
	}
	for _, id := range l.notRun {
		if ran[id] {
			f.tb.Errorf("request %s ran, but was refused as not-run", id)
		}
	}
	f.tb.Logf("load: %d sent, %d answers, %d with full coverage, %d refused, %d with unknown outcome", l.sent, l.answers, l.fullCoverage, l.refused, l.unknown)
}
