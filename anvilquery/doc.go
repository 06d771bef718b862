// Package anvilquery makes all decisions of a query at the node that received
// it: deadline, snapshot, coverage, choice of leaves, hedging, retries and when
// to answer. It does no I/O: its callers pass in the time and events, and it
// returns actions.
//
// A query is pinned to the newest snapshot for which every shard has an
// available leaf, or else to the one that covers the largest fraction of its
// shards. A reply counts only if it answers an outstanding call and names the
// snapshot, shard and shard count that the call asked for. The answer therefore
// comes from one snapshot, and its coverage counts only shards whose leaf
// confirmed them.
//
// A query ends at the latest at its deadline, which is the arrival time plus the
// timeout minus the return reserve of the class. It ends earlier when
//   - every shard has answered or has finally failed, or
//   - its class is urgent, the coverage floor is met and the hedge round is over.
//
// The hedge round begins with the first calls. After the hedge delay, calls that
// are still outstanding are hedged as far as the hedge budget allows. The round
// is over at once if no hedge was sent. Otherwise it is over when all hedges have
// ended, or after the 75th percentile of the latency. An urgent query with enough
// coverage sends no hedges after that.
//
// The hedge delay is a quantile of the latencies of the service, by default the
// 95th percentile, plus a sixteenth, at most eight times the median and half of
// the query's time. Patient queries wait four times as long. Calls that were
// cancelled or timed out count with the time they had taken. Only primary calls
// earn tokens for hedges and retries.
//
// A failed call is repeated at another leaf of the shard, at most once per leaf.
// This does not use the retry budget if the leaf no longer holds the shard of that
// snapshot. If no leaf is left and a newer complete snapshot exists, an idempotent
// query is restarted on it, once. A non-idempotent query sends a second call only
// if it is certain that the first one did not run.
//
// The circuit of a leaf opens after three consecutive failures, or after eight
// consecutive calls that lost against a hedge. The leaf then gets one probe per
// backoff, which doubles from 100 ms to 5 s. An error that the leaf itself reports
// counts only if another shard of the query answered, or if there is only one shard.
package anvilquery
