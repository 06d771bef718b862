package anvilcapacity

import (
	"bytes"
	"runtime"
	"time"

	"anvilbridge/anvilmodel"
	"anvilbridge/anvilwire"
)

// measureAnswer measures encoding the answer to a caller.
func measureAnswer() (cpu, size Slope, err error) {
	const times = 50
	sizes := []int{20, 50, designLeafsPerQuery, 198}
	cpu = Slope{
		Name:     "answer-cpu",
		What:     "encoding one answer with its checksum, parts of 1 KB of text",
		Kind:     KindCPU,
		Unit:     "s",
		SizeName: "shards",
		Sizes:    floats(sizes),
		Targets: []Target{{
			What:   "answers of a second",
			Size:   designLeafsPerQuery,
			Factor: nodeQueries,
			Unit:   "cores",
			Budget: BudgetDataCPU,
		}},
	}
	size = Slope{
		Name:     "answer-bytes",
		What:     "body of one answer, parts of 1 KB of text",
		Kind:     KindCount,
		Unit:     "bytes",
		SizeName: "shards",
		Sizes:    floats(sizes),
		Targets: []Target{{
			What:   "answers of a second",
			Size:   designLeafsPerQuery,
			Factor: nodeQueries,
			Unit:   "bytes/s",
		}},
	}
	for _, n := range sizes {
		a := designAnswer(n)
		var body []byte
		cpu.Values = append(cpu.Values, leastCPU(func() {
			for range times {
				if body, err = anvilwire.AppendAnswer(nil, a); err != nil {
					return
				}
				runtime.KeepAlive(anvilwire.Checksum(body))
			}
		})/times)
		if err != nil {
			return cpu, size, err
		}
		size.Values = append(size.Values, float64(len(body)))
	}
	return cpu, size, nil
}

func designAnswer(shards int) *anvilmodel.Answer {
	a := &anvilmodel.Answer{
		RequestID: "0123456789abcdef",
		Snapshot:  20_250_611,
		Coverage: anvilmodel.Coverage{
			Covered: shards,
			Total:   shards,
		},
		Took: 43 * time.Millisecond,
	}
	for i := range shards {
		a.Parts = append(a.Parts, anvilmodel.Part{
			Shard: anvilmodel.Shard(i),
			Body:  bytes.Repeat([]byte("x"), replyBody),
		})
	}
	return a
}
