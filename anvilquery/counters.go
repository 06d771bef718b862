package anvilquery

// Counters holds event counts of all queries of an Origin since it was created.
type Counters struct {
	// Queries counts started queries, including refused ones.
	Queries uint64
	// Answers and Refusals count finished queries by result. Abandoned counts
	// queries whose caller disconnected.
	Answers   uint64
	Refusals  uint64
	Abandoned uint64
	// Partial counts answers that did not cover every shard.
	Partial uint64
	// Calls counts primary calls, excluding hedges and retries.
	Calls uint64
	// DroppedMismatched counts replies whose request, origin or leaf differs from
	// that of the call they claim to answer.
	DroppedMismatched uint64
	// DroppedLate counts replies to calls that are no longer outstanding, including
	// duplicates.
	DroppedLate uint64
	// DroppedWrongHolding counts replies for a snapshot, shard or shard count other
	// than the one that the call asked for.
	DroppedWrongHolding uint64
	// HedgesSent counts hedges that were sent, HedgesWon those that answered first,
	// and HedgesRefused calls for which no token was available when their hedge
	// became due. Such a hedge may still have been sent later.
	HedgesSent    uint64
	HedgesWon     uint64
	HedgesRefused uint64
	// Retries counts retries that were sent, and RetriesRefused those that the
	// retry budget did not allow. Reroutes counts calls repeated at another leaf
	// because the first leaf no longer holds the snapshot; they do not use the
	// retry budget.
	Retries        uint64
	RetriesRefused uint64
	Reroutes       uint64
	// Restarts counts queries that were restarted on a newer snapshot.
	Restarts uint64
	// Cancelled counts calls cancelled while they were outstanding.
	Cancelled uint64
	// CircuitsOpened counts how often the circuit of a leaf was opened.
	CircuitsOpened uint64
	// Pauses counts process pauses detected by queries: ticks more than one second
	// late.
	Pauses uint64
}
