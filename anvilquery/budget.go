package anvilquery

// budget is a token bucket that only primary calls fill, so that extra calls
// stay under a share of the primary ones whatever the upstreams do.
type budget struct {
	ratio  float64
	burst  float64
	tokens float64
}

// tokenTolerance absorbs the rounding of repeated additions of a share.
const tokenTolerance = 1e-9

func (b *budget) earn() {
	b.tokens = min(b.burst, b.tokens+b.ratio)
}

func (b *budget) hasToken() bool {
	return b.tokens >= 1-tokenTolerance
}

// spend spends a token. It reports whether there was one.
func (b *budget) spend() bool {
	if !b.hasToken() {
		return false
	}
	b.tokens = max(0, b.tokens-1)
	return true
}
