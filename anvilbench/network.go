package anvilbench

import (
	"math/rand/v2"
	"time"

	"anvilbridge/anvilmodel"
)

// maxJitter is the largest random addition to a delay, as a share of the delay.
const maxJitter = 0.1

// network computes message delays from the constants of the deployment.
type network struct {
	deployment *Deployment
	random     *rand.Rand
	// lastArrivals holds the time of the last arrival on the stream from one node
	// to another. Messages on one stream arrive in order.
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

// domainDelay returns the delay of a message between two failure domains.
func (n *network) domainDelay(a, b anvilmodel.FailureDomain) time.Duration {
	if a == b {
		return n.addJitter(n.deployment.IntraDomainDelay)
	}
	return n.addJitter(n.deployment.InterDomainDelay)
}

// callerDelay returns the delay of a message between a caller and a node.
func (n *network) callerDelay() time.Duration {
	return n.addJitter(n.deployment.CallerDelay)
}

// arrivalTime returns when a message that is sent now on the stream between two
// nodes arrives. A message of a node to itself arrives immediately.
func (n *network) arrivalTime(from, to *node, now time.Duration) time.Duration {
	if from == to {
		return now
	}
	last := &n.lastArrivals[from.index][to.index]
	*last = max(*last, now+n.domainDelay(from.domain, to.domain))
	return *last
}
