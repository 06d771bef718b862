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

// query is a query to one node, beside the caller's client.
type query struct {
	service anvilmodel.ServiceName
	class   anvilmodel.ClassName
	timeout time.Duration
	key     string
	ticket  anvilmodel.Ticket
	body    string
	// change may damage the request.
	change func(*http.Request)
}

// reply is a verified reply; exactly one of answer and refusal is set, or err.
type reply struct {
	status  int
	answer  *anvilmodel.Answer
	refusal *anvilmodel.Refusal
	err     error
}

// httpClient keeps no connections, so that none outlives a test.
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
	if q.change != nil {
		q.change(r)
	}
	status, header, body, err := exchange(r)
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

func exchange(r *http.Request) (int, http.Header, []byte, error) {
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
	status, _, body, err := exchange(r)
	if err != nil {
		f.tb.Fatal(err)
	}
	return status, body
}

// outcome asks a node what became of a ticket.
func (f *fleet) outcome(m *testNode, ticket anvilmodel.Ticket) anvilwire.Outcome {
	_, body := f.get(m, anvilwire.PathOutcome+"?ticket="+anvilwire.FormatTicket(ticket))
	outcome, err := anvilwire.DecodeOutcome(body)
	if err != nil {
		f.tb.Fatalf("outcome: %v: %s", err, body)
	}
	return outcome
}

// named returns the names that a node tells callers to use.
func (f *fleet) named(m *testNode) []anvilmodel.VMName {
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

// ticket returns a new ticket for a node.
func (m *testNode) ticket(number int) anvilmodel.Ticket {
	s := m.Status()
	return anvilmodel.Ticket{
		Incarnation: s.Incarnation,
		Epoch:       s.Members[0].TicketEpoch,
		ID:          fmt.Sprintf("%032x", number),
	}
}

// checkAnswer checks that an answer is whole as far as its coverage says, is the
// answer to its own request, and comes from one snapshot.
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
		f.tb.Errorf("%d parts, coverage %+v", len(a.Parts), a.Coverage)
	}
}

// load sends queries by callers' clients until it is stopped.
type load struct {
	fleet   *fleet
	clients []*anvilcaller.Client
	cancel  context.CancelFunc
	workers sync.WaitGroup

	mu sync.Mutex
	// sent, answers, whole, refused and unknown count requests.
	sent, answers, whole, refused, unknown int
	// claims holds the requests that were refused as certainly not run.
	claims []anvilmodel.RequestID
	// failed holds the errors of requests that were neither answered nor refused,
	// and whose outcome the client did not find unknown.
	failed []error
}

// startLoad starts workers, of which some send requests that may run only once.
func (f *fleet) startLoad(workers, once int) *load {
	ctx, cancel := context.WithTimeout(context.Background(), generous)
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
				l.send(client, fmt.Sprintf("load-%d-%d", i, n), i < once)
				time.Sleep(2 * time.Millisecond)
			}
		}()
	}
	return l
}

func (l *load) send(client *anvilcaller.Client, id string, once bool) {
	r := anvilcaller.Request{
		ID:      anvilmodel.RequestID(id),
		Service: lots,
		Class:   "broad",
		Timeout: classTimeout,
		Body:    []byte("lot " + id),
	}
	if once {
		r.Service, r.Class, r.Key, r.NonIdempotent = certify, "once", id, true
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
			l.whole++
		}
		l.fleet.checkAnswer(r.Service, r.Body, &answer)
	case errorx.IsOfType(err, anvilcaller.UnknownOutcome):
		l.unknown++
	case errors.As(err, &refusal):
		l.refused++
		if refusal.RunState == anvilmodel.RunStateNotRun {
			l.claims = append(l.claims, r.ID)
		}
	default:
		l.failed = append(l.failed, err)
	}
}

// await waits until that many more requests were answered.
func (l *load) await(answers int) {
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

// stop ends the load and checks what must always hold: every request got its final
// answer, nothing ran twice, and what was refused as not-run did not run.
func (l *load) stop() {
	l.cancel()
	l.workers.Wait()
	for _, c := range l.clients {
		c.Shutdown()
	}
	f := l.fleet
	for _, err := range l.failed {
		f.tb.Errorf("a request failed: %v", err)
	}
	for e, n := range f.cluster.DuplicateExecutions() {
		f.tb.Errorf("%+v ran %d times", e, n)
	}
	ran := make(map[anvilmodel.RequestID]bool)
	for e := range f.cluster.Executions() {
		ran[e.Request] = true
	}
	for _, id := range l.claims {
		if ran[id] {
			f.tb.Errorf("request %s ran, but was refused as not-run", id)
		}
	}
	f.tb.Logf("load: %d sent, %d answers, %d whole, %d refused, %d unknown", l.sent, l.answers, l.whole, l.refused, l.unknown)
}
