// Package anvilfollower keeps a node's copies of the items that the platform's store
// publishes up to date. A few nodes read the store on behalf of the fleet; the others
// receive the changes from them over a replication tree. Readers poll other nodes as well,
// so that a store that stops responding to one node delays no change that another node
// already has.
package anvilfollower
