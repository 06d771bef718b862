// Package anvilbalance selects the leaf for each call and decides which extra
// calls (hedges and retries) a node may make. It does no I/O, and callers pass in
// the current time.
//
// Each node calls leaves directly and rates them by its own calls. Limits that apply
// to all nodes together are divided among them without coordination:
//   - The request rates that leaves announce, and those of cold leaves, are divided in
//     proportion to the nodes' demand. Every request counts: first calls, hedges,
//     retries and health checks. A share may be below one call per second.
//   - Connections and the slack of the retry budget are divided by the number of nodes.
//   - The part of the retry budget that is proportional to requests needs no division,
//     because each node derives it from its own requests.
//
// A leaf's cost is its latency relative to the other leaves of the same route,
// multiplied by factors for its load, its failures and its overdue calls. The leaf
// with the lowest cost is called. A leaf that does not answer several calls in a
// row is ejected until a health check succeeds.
package anvilbalance
