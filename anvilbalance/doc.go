// Package anvilbalance chooses the leaf of each call and decides which extra
// calls a node may make. It does no I/O; it is handed the time.
//
// Each node calls leafs directly and judges them by its own calls. The bounds
// that hold over all nodes together (connections and the rate of cold leafs, the
// slack of the retry budget) are divided by the number of nodes; the share of the
// retry budget that grows with the requests needs no division, because each node
// earns it from its own requests.
//
// A leaf's cost is its latency, relative to that of other leafs of the same
// route, times factors for its load, its failures and for calls that are overdue.
// The leaf with the lowest cost is called. A leaf that fails several times in a
// row is ejected until a health check succeeds.
package anvilbalance
