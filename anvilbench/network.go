package anvilbench

import (
	"math/rand/v2"
	"time"

	"anvilbridge/anvilmodel"
)

// jitterShare is the largest part of a delay that is added to it at random.
const maxJitter = 0.1

// network delays messages by the constants of the deployment.
type network struct {
	deployment *Deployment
	random     *rand.Rand
	// streams holds the last arrival on the stream from one node to another.
	// Messages on one stream arrive in order.
	lastArrivals [][]time.Duration
}

func newNetwork(d *Deployment, random *rand.Rand) *network {
	n := &network{
		deployment:   d,
		random:       random,
		lastArrivals: make([][]time.Duration, len(d.Nodes)),
	}
	for i := range n.lastArrivals {
		n.lastArrivals[i] = make([]time.Duration, len(d.Nodes))
	}
	return n
}

func (n *network) addJitter(delay time.Duration) time.Duration {
	return delay + time.Duration(n.random.Float64()*maxJitter*float64(delay))
}

// between returns the delay between two failure domains.
func (n *network) domainDelay(a, b anvilmodel.FailureDomain) time.Duration {
	if a == b {
		return n.addJitter(n.deployment.IntraDomainDelay)
	}
	return n.addJitter(n.deployment.InterDomainDelay)
}

// toCaller returns the delay between a caller and a node.
func (n *network) callerDelay() time.Duration {
	return n.addJitter(n.deployment.CallerDelay)
}

// arrival returns when a message on the stream between two nodes arrives. A
// node reaches itself at once.
func (n *network) arrivalTime(from, to *node, now time.Duration) time.Duration {
	if from == to {
		return now
	}
	last := &n.lastArrivals[from.index][to.index]
	*last = max(*last, now+n.domainDelay(from.domain, to.domain))
	return *last
}
