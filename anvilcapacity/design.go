package anvilcapacity

import "time"

// Sizes and limits of section 1.5 of docs/design.md.
const (
	designNodes         = 410
	designLeafs         = 3000
	designQueries       = 84000
	designLeafsPerQuery = 99
	designDomains       = 4
	designChanges       = 230
	designTarget        = 110 * time.Millisecond
	designCPU           = 0.021
	designMemory        = 256 << 20
	designBytes         = 4 << 10
	// designReads is how many reads a second the platform's store allows.
	designReads = 2000
)

// Rates that follow from the sizes.
const (
	secondsPerDay = 86400
	// nodeQueries is the queries that a node receives in a second, about 205.
	nodeQueries = float64(designQueries) / designNodes
	// nodeCalls is the leaf calls that a node starts in a second, about 20,283.
	nodeCalls     = nodeQueries * designLeafsPerQuery
	changesPerSec = float64(designChanges) / secondsPerDay
)

// updatePeriod is how often a node tells its membership of its own state
// (anvilpeer/prober.go).
const updatePeriod = 250 * time.Millisecond
