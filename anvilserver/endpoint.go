package anvilserver

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/go-kit/kit/endpoint"
	"github.com/rs/zerolog"

	"anvilbridge/anvilmodel"
	"anvilbridge/anvilwire"
)

// queryEndpoint answers queries with *anvilmodel.Answer. Refusals are returned as
// errors.
func queryEndpoint(c Config) endpoint.Endpoint {
	return func(ctx context.Context, request any) (any, error) {
		q := request.(queryRequest)
		if q.refusal != nil {
			return nil, c.AdjustRefusal(q.query.Ticket, q.refusal)
		}
		answer, refusal := q.run(ctx)
		if refusal != nil {
			return nil, refusal
		}
		return answer, nil
	}
}

func outcomeEndpoint(find func(context.Context, anvilmodel.Ticket) anvilwire.Outcome) endpoint.Endpoint {
	return func(ctx context.Context, request any) (any, error) {
		return find(ctx, request.(anvilmodel.Ticket)), nil
	}
}

func addressEndpoint(choose func(anvilmodel.FailureDomain) anvilwire.AddressList) endpoint.Endpoint {
	return func(_ context.Context, request any) (any, error) {
		return choose(request.(anvilmodel.FailureDomain)), nil
	}
}

func observeQueries(observe func(QueryResult)) endpoint.Middleware {
	return func(next endpoint.Endpoint) endpoint.Endpoint {
		return func(ctx context.Context, request any) (any, error) {
			response, err := next(ctx, request)
			observe(queryResult(request.(queryRequest), response, err))
			return response, err
		}
	}
}

// maxLoggedRefusals limits the logged refusals per second. An overloaded node refuses
// thousands, and logging all of them would use CPU time that it needs for queries. The
// metrics count every refusal.
const maxLoggedRefusals = 100

// logQueries logs refusals at info level and answers at debug level, so that normal
// load does not produce a log line per query.
func logQueries(log zerolog.Logger) endpoint.Middleware {
	refusals := log.Sample(&zerolog.BurstSampler{
		Burst:  maxLoggedRefusals,
		Period: time.Second,
	})
	return func(next endpoint.Endpoint) endpoint.Endpoint {
		return func(ctx context.Context, request any) (any, error) {
			response, err := next(ctx, request)
			r := queryResult(request.(queryRequest), response, err)
			event := log.Debug()
			if r.Refusal != nil {
				event = refusals.Info().
					Str("ran", r.Refusal.RunState.String()).
					Str("detail", r.Refusal.Detail)
			}
			event.
				Str("event", "query-finished").
				Str("request", string(r.Query.ID)).
				Str("service", string(r.Query.Service)).
				Str("class", string(r.Query.Class)).
				Str("outcome", r.Outcome()).
				Dur("took", r.Duration).
				Send()
			return response, err
		}
	}
}

// admitQueries refuses queries that the node does not admit. A query that could not be
// decoded is passed on without admission, and refused by the endpoint.
func admitQueries(admit func(anvilwire.Query) (QueryFunc, *anvilmodel.Refusal)) endpoint.Middleware {
	return func(next endpoint.Endpoint) endpoint.Endpoint {
		return func(ctx context.Context, request any) (any, error) {
			q := request.(queryRequest)
			if q.refusal != nil {
				return next(ctx, request)
			}
			run, refusal := admit(q.query)
			if refusal != nil {
				return nil, refusal
			}
			q.run = run
			return next(ctx, q)
		}
	}
}

// recoverQueries converts a panic into a refusal with the run state unknown, so that it
// does not end the process.
func recoverQueries(log zerolog.Logger) endpoint.Middleware {
	return func(next endpoint.Endpoint) endpoint.Endpoint {
		return func(ctx context.Context, request any) (response any, err error) {
			defer func() {
				recovered := recover()
				if recovered == nil {
					return
				}
				id := request.(queryRequest).query.ID
				log.Error().
					Str("event", "query-panic").
					Str("request", string(id)).
					Str("fault", fmt.Sprint(recovered)).
					Send()
				err = &anvilmodel.Refusal{
					RequestID: id,
					Reason:    anvilmodel.ReasonUpstream,
					RunState:  anvilmodel.RunStateUnknown,
					Detail:    "internal error",
				}
			}()
			return next(ctx, request)
		}
	}
}

// recoverRequests replies with status 500 if the handler of any request panics.
func recoverRequests(log zerolog.Logger, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		defer func() {
			recovered := recover()
			if recovered == nil {
				return
			}
			if err, ok := recovered.(error); ok && errors.Is(err, http.ErrAbortHandler) {
				panic(recovered)
			}
			log.Error().
				Str("event", "request-panic").
				Str("path", r.URL.Path).
				Str("fault", fmt.Sprint(recovered)).
				Send()
			writeText(w, http.StatusInternalServerError, "internal error\n")
		}()
		next.ServeHTTP(w, r)
	})
}

func queryResult(request queryRequest, response any, err error) QueryResult {
	r := QueryResult{
		Query:    request.query,
		Duration: time.Since(request.arrivedAt),
	}
	if err != nil {
		r.Refusal = asRefusal(request.query.ID, err)
		return r
	}
	r.Answer = response.(*anvilmodel.Answer)
	return r
}
