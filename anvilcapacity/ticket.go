package anvilcapacity

import (
	"context"
	"fmt"
	"time"

	"anvilbridge/anvilmodel"
	"anvilbridge/anvilticket"
)

// The register keeps the tickets of three epochs.
const (
	ticketEpochs = 3
	ticketPeriod = 30 * time.Second
)

// measureTicket measures the register of non-idempotent requests.
func measureTicket(context.Context, uint64) ([]Slope, error) {
	sizes := []int{2_000, 8_000, 18_000, 30_000}
	kept := min(nodeQueries*ticketEpochs*ticketPeriod.Seconds(), 32_768)
	slope := func(name, what string, kind Kind, unit string, target Target) Slope {
		return Slope{
			Name:     "ticket-" + name,
			What:     what,
			Kind:     kind,
			Unit:     unit,
			SizeName: "records",
			Sizes:    floats(sizes),
			Targets:  []Target{target},
		}
	}
	bare := slope("memory", "register of finished tickets without an answer", KindHeap, "bytes",
		Target{What: "every query with a ticket, 90 s kept", Size: kept, Unit: "bytes", Limit: designMemory, Budget: BudgetControlMemory})
	answers := slope("answer-memory", "register of finished tickets with answers of 512 bytes", KindHeap, "bytes",
		Target{What: "every query with a ticket, 90 s kept", Size: kept, Unit: "bytes", Limit: designMemory})
	for _, n := range sizes {
		bare.Values = append(bare.Values, retained(func() *anvilticket.Register { return fillRegister(n, 0) }))
		answers.Values = append(answers.Values, retained(func() *anvilticket.Register { return fillRegister(n, 512) }))
	}
	return []Slope{bare, answers, measureTicketCPU()}, nil
}

// measureTicketCPU fills registers of 2,000 records, again and again.
func measureTicketCPU() Slope {
	const records = 2_000
	sizes := []int{20_000, 40_000, 80_000}
	s := Slope{
		Name:     "ticket-cpu",
		What:     "Begin and Finish of a ticket",
		Kind:     KindCPU,
		Unit:     "s",
		SizeName: "tickets",
		Sizes:    floats(sizes),
		Targets: []Target{{
			What:   "every query of a second with a ticket",
			Size:   nodeQueries,
			Rate:   true,
			Unit:   "cores",
			Budget: BudgetDataCPU,
		}},
	}
	for _, n := range sizes {
		s.Values = append(s.Values, leastCPU(func() {
			for range n / records {
				fillRegister(records, 0)
			}
		}))
	}
	return s
}

// fillRegister runs tickets with answers of a size.
func fillRegister(count, answerBytes int) *anvilticket.Register {
	now := time.Unix(1_700_000_000, 0)
	r := anvilticket.New(anvilticket.Config{
		Incarnation: 1,
		Started:     now,
	})
	for i := range count {
		t := anvilmodel.Ticket{
			Incarnation: 1,
			ID:          fmt.Sprintf("%032x", i),
		}
		r.Begin(t, uint64(i), now)
		var answer []byte
		if answerBytes > 0 {
			answer = make([]byte, answerBytes)
		}
		r.Finish(t, anvilticket.Outcome{
			Ran:    anvilmodel.RunStateRun,
			Answer: answer,
		}, now)
	}
	return r
}
