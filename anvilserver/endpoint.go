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

// queryEndpoint returns *anvilmodel.Answer; a refusal is returned as the error.
func queryEndpoint(c Config) endpoint.Endpoint {
	return func(ctx context.Context, request any) (any, error) {
		q := request.(queryRequest)
		if q.refusal != nil {
			return nil, c.Refuse(q.query.Ticket, q.refusal)
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
			observe(result(request.(queryRequest), response, err))
			return response, err
		}
	}
}

// refusalBurst bounds the logged refusals per second: a shedding node refuses
// thousands, and logging them all would cost the time that it lacks. The metrics
// count every one.
const refusalBurst = 100

// logQueries logs refusals at info level and answers at debug level, so that
// the usual load does not write a line for each query.
func logQueries(log zerolog.Logger) endpoint.Middleware {
	refusals := log.Sample(&zerolog.BurstSampler{
		Burst:  refusalBurst,
		Period: time.Second,
	})
	return func(next endpoint.Endpoint) endpoint.Endpoint {
		return func(ctx context.Context, request any) (any, error) {
			response, err := next(ctx, request)
			r := result(request.(queryRequest), response, err)
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
				Dur("took", r.Took).
				Send()
			return response, err
		}
	}
}

// limitQueries refuses queries that the node does not admit. A query that could
// not be decoded is refused by the endpoint and takes no room.
func limitQueries(admit func(anvilwire.Query) (QueryFunc, *anvilmodel.Refusal)) endpoint.Middleware {
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

// recoverQueries turns a panic into a refusal whose run state is unknown, so
// that one bad query does not end the process.
func recoverQueries(log zerolog.Logger) endpoint.Middleware {
	return func(next endpoint.Endpoint) endpoint.Endpoint {
		return func(ctx context.Context, request any) (response any, err error) {
			defer func() {
				fault := recover()
				if fault == nil {
					return
				}
				id := request.(queryRequest).query.ID
				log.Error().
					Str("event", "query-panic").
					Str("request", string(id)).
					Str("fault", fmt.Sprint(fault)).
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

// recoverRequests does the same for the requests that are no queries.
func recoverRequests(log zerolog.Logger, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		defer func() {
			fault := recover()
			if fault == nil {
				return
			}
			if err, ok := fault.(error); ok && errors.Is(err, http.ErrAbortHandler) {
				panic(fault)
			}
			log.Error().
				Str("event", "request-panic").
				Str("path", r.URL.Path).
				Str("fault", fmt.Sprint(fault)).
				Send()
			writeText(w, http.StatusInternalServerError, "internal error\n")
		}()
		next.ServeHTTP(w, r)
	})
}

func result(request queryRequest, response any, err error) QueryResult {
	r := QueryResult{
		Query: request.query,
		Took:  time.Since(request.arrived),
	}
	if err != nil {
		r.Refusal = asRefusal(request.query.ID, err)
		return r
	}
	r.Answer = response.(*anvilmodel.Answer)
	return r
}
