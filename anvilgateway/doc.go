// Package anvilgateway is the node that serves callers by host and path. It
// connects the cores (anvilroute, anvilbalance, anvilgather, anvilmirror,
// anvilmember, anviladdress) with sockets and timers.
//
// A gateway calls the leafs directly. It follows the platform's store, keeps a
// copy of what it publishes, and passes the copy on to other gateways, so that
// one that cannot reach the store still learns of changes.
//
// What is spoken to callers, leafs and the platform is given by the function
// fields of Protocol and Store; the package knows no names on the wire.
package anvilgateway
