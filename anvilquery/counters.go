package anvilquery

// Counters counts what the queries of an origin did since it was created.
type Counters struct {
	// Queries counts started queries, refused ones included.
	Queries uint64
	// Answers and Refusals count how queries ended; Abandoned counts those whose
	// caller went away.
	Answers   uint64
	Refusals  uint64
	Abandoned uint64
	// Partial counts answers that did not cover every shard.
	Partial uint64
	// Calls counts primary calls, that is neither hedges nor retries.
	Calls uint64
	// DroppedMismatched counts replies that name a request, an origin or a leaf
	// other than those of the call they claim to answer.
	DroppedMismatched uint64
	// DroppedLate counts replies to calls that are no longer outstanding,
	// duplicates included.
	DroppedLate uint64
	// DroppedWrongHolding counts replies from another snapshot, shard or shard count
	// than the call asked for.
	DroppedWrongHolding uint64
	// HedgesSent, HedgesWon and HedgesRefused count hedges that were sent, that
	// answered first, and that found no token when they were due. The last may
	// still have been sent later.
	HedgesSent    uint64
	HedgesWon     uint64
	HedgesRefused uint64
	// Retries and RetriesRefused count retries that were sent, and that the token
	// budget did not allow. Reroutes counts calls repeated at another leaf because
	// the first had dropped the snapshot; these are free of the budget.
	Retries        uint64
	RetriesRefused uint64
	Reroutes       uint64
	// Restarts counts queries that began again on a newer snapshot.
	Restarts uint64
	// Cancelled counts calls cancelled while they were outstanding.
	Cancelled uint64
	// CircuitsOpened counts how often a leaf was set aside for failing.
	CircuitsOpened uint64
	// Pauses counts queries that were ticked more than a second late.
	Pauses uint64
}
