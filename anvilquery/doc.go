// Package anvilquery makes all decisions of one query at the node that received
// it: deadline, snapshot, coverage, choice of leafs, hedging, retries and when
// to answer. It does no I/O; it is handed the time and events and returns actions.
//
// A query pins the newest snapshot for which every shard has an available leaf,
// or else the one that covers the largest part of its shards. A reply counts only
// if it answers an outstanding call and names the snapshot, the shard and the
// shard count that the call asked for. The answer therefore comes from one
// snapshot, and its coverage counts only shards whose leaf said so itself.
//
// A query ends at the latest at its deadline, which is the arrival plus the
// timeout less the return reserve of the class. It ends before that when
//   - every shard has answered or has definitively failed, or
//   - its class is urgent, the coverage floor is met and the hedge round is over.
//
// The hedge round begins with the first calls. When the hedge delay has passed,
// the calls that are still outstanding are hedged as far as the tokens go. The
// round is over at once if no hedge was sent, otherwise when all hedges have
// ended or three in four replies would have come in the time since. Calls are
// not hedged again for an urgent query that covers enough.
//
// The hedge delay is the 95th percentile of the latencies of the service and a
// sixteenth more, at most eight times the median and half of the query's time.
// Patient queries wait four times as long. Calls that were given up count with
// the time they had taken. Only primary calls earn tokens.
//
// A lost call is repeated at another leaf of the shard, at most once per leaf: at
// no cost if the leaf no longer holds the shard of that snapshot, otherwise from
// the retry budget. If no leaf is left and a newer complete snapshot exists, an
// idempotent query begins again on it, once. A non-idempotent query sends a
// second call only after a certain not-run.
//
// A leaf is set aside after three failures in a row, or after eight calls in a
// row that a hedge won against. It then gets one call per back-off, which doubles
// from 100 ms to 5 s. An error that the leaf itself reports counts only if another
// shard of the query answered, or if there is but one shard.
package anvilquery
