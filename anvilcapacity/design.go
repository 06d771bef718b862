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
	designFailures      = 17
	designReplacements  = 240
	designCPU           = 0.021
	designMemory        = 256 << 20
	designBytes         = 4 << 10
	designSpread        = 7 * time.Second
	// designReads is how many reads a second the configuration service allows.
	designReads = 2000
	// designDocument is the largest value that the configuration service holds.
	designDocument = 1 << 20
)

// Rates that follow from the sizes.
const (
	secondsPerDay = 86400
	// nodeQueries is the queries that a node receives in a second, about 205.
	nodeQueries = float64(designQueries) / designNodes
	// nodeCalls is the leaf calls that a node starts in a second, about 20,283.
	nodeCalls = nodeQueries * designLeafsPerQuery
	// leafCalls is the calls that a leaf gets in a second.
	leafCalls = float64(designQueries) * designLeafsPerQuery / designLeafs
	// nodeDispatchers is the leafs that a node is one of three candidates for.
	nodeDispatchers = 3 * float64(designLeafs) / designNodes
	// nodePrimaries is the leafs that a node is the first candidate for.
	nodePrimaries = float64(designLeafs) / designNodes
	// nodeBatches is the batches of calls that a node sends in a second, at 28.7
	// dispatching nodes for each query (assignment-nodes-per-query).
	nodeBatches   = nodeQueries * 28.7
	changesPerSec = float64(designChanges) / secondsPerDay
)

// Rules of anvilnode whose constants are not exported.
const (
	// exchangePerMember is the interval of leaf state exchanges, for each member
	// (anvilnode/leafstates.go).
	exchangePerMember = 100 * time.Millisecond
	// pollInterval and backupFactor are the reads of a leaf's state by its first
	// candidate, and by how much the others read less often (anvilnode/config.go,
	// anvilnode/leafrunner.go).
	pollInterval    = 500 * time.Millisecond
	fullPollMembers = 64
	backupFactor    = 4
	// watchWait, watchersPerDomain, listInterval and listPerMember are the reads
	// of the platform (anvilnode/platform.go, anvilnode/config.go).
	watchWait         = 20 * time.Second
	watchersPerDomain = 3
	listInterval      = 2 * time.Second
	listPerMember     = 400 * time.Millisecond
	// revisionTick is how often the revision keeper is ticked and the node's own
	// state is updated, announceCount how many peers are told of a revision
	// (anvilnode/revisions.go).
	revisionTick  = 250 * time.Millisecond
	announceCount = 4
	// probeTimeout is that of anvilmember: a node that answers later is suspected.
	probeTimeout = 300 * time.Millisecond
)

// exchangesPerSec is how many members a node asks for leaf states in a second.
const exchangesPerSec = (designNodes - 1) / (designNodes * float64(exchangePerMember) / float64(time.Second))

// pollsPerSec is how many leaf states a node reads in a second.
const pollsPerSec = (nodePrimaries + (nodeDispatchers-nodePrimaries)/backupFactor) * float64(time.Second) / float64(pollInterval) * fullPollMembers / designNodes
