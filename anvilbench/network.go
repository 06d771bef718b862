package anvilbench

import (
	"math/rand/v2"
	"time"

	"anvilbridge/anvilmodel"
)

// jitterShare is the largest part of a delay that is added to it at random.
const jitterShare = 0.1

// network delays messages by the constants of the deployment.
type network struct {
	deployment *Deployment
	random     *rand.Rand
	// streams holds the last arrival on the stream from one node to another.
	// Messages on one stream arrive in order.
	streams [][]time.Duration
}

func newNetwork(d *Deployment, random *rand.Rand) *network {
	n := &network{
		deployment: d,
		random:     random,
		streams:    make([][]time.Duration, len(d.Nodes)),
	}
	for i := range n.streams {
		n.streams[i] = make([]time.Duration, len(d.Nodes))
	}
	return n
}

func (n *network) jitter(delay time.Duration) time.Duration {
	return delay + time.Duration(n.random.Float64()*jitterShare*float64(delay))
}

// between returns the delay between two failure domains.
func (n *network) between(a, b anvilmodel.FailureDomain) time.Duration {
	if a == b {
		return n.jitter(n.deployment.IntraDomainDelay)
	}
	return n.jitter(n.deployment.InterDomainDelay)
}

// toCaller returns the delay between a caller and a node.
func (n *network) toCaller() time.Duration {
	return n.jitter(n.deployment.CallerDelay)
}

// arrival returns when a message on the stream between two nodes arrives. A
// node reaches itself at once.
func (n *network) arrival(from, to *node, now time.Duration) time.Duration {
	if from == to {
		return now
	}
	last := &n.streams[from.index][to.index]
	*last = max(*last, now+n.between(from.domain, to.domain))
	return *last
}
