package anvilnode

import (
	"fmt"
	"strings"

	"anvilbridge/anvilmodel"
	"anvilbridge/anvilwire"
)

// validate validates a query against the configuration and returns its request or a
// refusal.
func validate(active *activeConfig, q anvilwire.Query) (anvilmodel.Request, *anvilmodel.Refusal) {
	refuse := func(reason anvilmodel.RefusalReason, detail, accepted string) (anvilmodel.Request, *anvilmodel.Refusal) {
		return anvilmodel.Request{}, &anvilmodel.Refusal{
			RequestID: q.ID,
			Reason:    reason,
			RunState:  anvilmodel.RunStateNotRun,
			Detail:    detail,
			Accepted:  accepted,
		}
	}
	if _, ok := active.settings.Service(q.Service); !ok {
		return refuse(anvilmodel.ReasonUnknownService, fmt.Sprintf("there is no service %q", q.Service), serviceNames(active))
	}
	class, ok := active.settings.Class(q.Class)
	if !ok || !class.AllowsService(q.Service) {
		return refuse(anvilmodel.ReasonUnknownClass,
			fmt.Sprintf("there is no class %q for service %q", q.Class, q.Service), classNames(active, q.Service))
	}
	if q.Timeout <= class.Class.ReturnReserve {
		return refuse(anvilmodel.ReasonBadTimeout,
			fmt.Sprintf("%s is not longer than the %s kept back for the way to the caller", q.Timeout, class.Class.ReturnReserve),
			fmt.Sprintf("more than %s, at most %s", class.Class.ReturnReserve, class.Class.Timeout))
	}
	if q.Timeout > class.Class.Timeout {
		return refuse(anvilmodel.ReasonBadTimeout,
			fmt.Sprintf("%s is longer than class %q allows", q.Timeout, q.Class),
			fmt.Sprintf("at most %s", class.Class.Timeout))
	}
	if !class.Class.NonIdempotent && !q.Ticket.IsZero() {
		return refuse(anvilmodel.ReasonBadTicket,
			fmt.Sprintf("class %q may run more than once and takes no ticket", q.Class),
			"no "+anvilwire.HeaderTicket)
	}
	if class.Class.NonIdempotent && q.Ticket.IsZero() {
		return refuse(anvilmodel.ReasonBadTicket,
			fmt.Sprintf("class %q needs a ticket", q.Class),
			anvilwire.HeaderTicket+": <incarnation>.<epoch>.<32 hex digits>")
	}
	return anvilmodel.Request{
		ID:      q.ID,
		Service: q.Service,
		Class:   class.Class,
		Timeout: q.Timeout,
		Ticket:  q.Ticket,
		Key:     q.Key,
		Body:    q.Body,
	}, nil
}

func serviceNames(active *activeConfig) string {
	names := make([]string, 0, len(active.settings.Services))
	for _, s := range active.settings.Services {
		names = append(names, string(s.Name))
	}
	return "one of " + strings.Join(names, ", ")
}

func classNames(active *activeConfig, service anvilmodel.ServiceName) string {
	names := []string{}
	for _, c := range active.settings.Classes {
		if c.AllowsService(service) {
			names = append(names, string(c.Class.Name))
		}
	}
	return "one of " + strings.Join(names, ", ")
}
