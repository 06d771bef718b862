// Package anvilfollower keeps a node's copies of what the platform's store publishes
// up to date. A few nodes read the store for all; the others get the changes from
// them on a tree, and every node asks the others, whether it reads the store or not,
// so that a store that is silent towards one node delays nothing that another one
// knows.
package anvilfollower
