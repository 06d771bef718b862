package anvilgather

import "time"

const (
	// minRetryDelay and maxRetryDelay bound the retry delay before it is spread.
	minRetryDelay = 100 * time.Millisecond
	maxRetryDelay = time.Second
	// retryDelaySpread is the width of the range over which retries are spread, as a
	// fraction of the delay.
	retryDelaySpread = 0.5
)

// RetryDelay returns the time after which a refused caller should retry. It is used
// where only the age of the condition that caused the refusal is known: on average,
// such a condition lasts as long again as it already has. The jitter, from 0 to 1,
// spreads the retries of callers that are refused at the same time.
func RetryDelay(age time.Duration, jitter float64) time.Duration {
	delay := min(max(age, minRetryDelay), maxRetryDelay)
	return time.Duration(float64(delay) * (1 + retryDelaySpread*(jitter-0.5)))
}
