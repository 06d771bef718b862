package anvilquery

// budget is a token bucket that is filled only by primary calls. It keeps
// additional calls below a fixed ratio of the primary calls, whatever the upstreams
// do.
type budget struct {
	ratio  float64
	burst  float64
	tokens float64
}

// tokenTolerance absorbs rounding errors from adding the ratio repeatedly.
const tokenTolerance = 1e-9

func (b *budget) earn() {
	b.tokens = min(b.burst, b.tokens+b.ratio)
}

func (b *budget) hasToken() bool {
	return b.tokens >= 1-tokenTolerance
}

// spend takes one token. It reports whether one was available.
func (b *budget) spend() bool {
	if !b.hasToken() {
		return false
	}
	b.tokens = max(0, b.tokens-1)
	return true
}
