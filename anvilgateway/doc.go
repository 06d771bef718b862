// Package anvilgateway implements the node that routes the requests of callers by host
// and path. It connects the packages without I/O (anvilroute, anvilbalance, anvilgather,
// anvilmirror, anvilmember, anviladdress) with sockets and timers.
//
// A gateway calls the leaves directly. It follows the platform's store, keeps a copy of
// what the store publishes, and serves the copy to other gateways, so that a gateway that
// cannot reach the store still receives changes.
//
// The function fields of Protocol and Store define the protocol towards callers, leaves
// and the platform. This package defines no platform-specific names of headers, paths or
// keys.
package anvilgateway
