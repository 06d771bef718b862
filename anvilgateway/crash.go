package anvilgateway

import (
	"context"
	"crypto/sha256"
	"encoding/binary"
	"errors"
	"syscall"
	"time"

	"anvilbridge/anvilbalance"
	"anvilbridge/anvilmodel"
)

// crashCheckTimeout bounds the check whether the process of a leaf has ended. The address of
// an ended process refuses connections within the time of a round trip.
const crashCheckTimeout = 300 * time.Millisecond

// fingerprint returns the fingerprint of the request. Callers, their addresses and the headers
// that differ between attempts are no part of it, but the credentials are.
func (s *servedRequest) fingerprint() anvilmodel.Fingerprint {
	s.fingerprintOnce.Do(func() {
		hash := sha256.New()
		var size [8]byte
		for _, field := range []string{s.method, s.host, s.target, s.authorization, string(s.outbound.body)} {
			binary.BigEndian.PutUint64(size[:], uint64(len(field)))
			// Writing to a hash cannot fail.
			_, _ = hash.Write(size[:])
			_, _ = hash.Write([]byte(field))
		}
		copy(s.fingerprintValue[:], hash.Sum(nil))
	})
	return s.fingerprintValue
}

// endedInCrash reports whether the process of the leaf has ended, given that the leaf ended the
// connection of a call without a reply.
func (g *Gateway) endedInCrash(l anvilbalance.Leaf) bool {
	ctx, cancel := context.WithTimeout(g.background, crashCheckTimeout)
	defer cancel()
	conn, err := g.dialer.DialContext(ctx, "tcp", l.Address.String())
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	_ = conn.Close()
	return false
}

// checkCrash checks whether the leaf has crashed during the call, whose connection has ended
// without a reply.
func (c *leafCall) checkCrash() {
	s := c.parent
	if !s.gateway.endedInCrash(c.leaf) {
		return
	}
	s.gateway.config.Log.Warn().Str("event", "leaf-crashed").Str("leaf", string(c.leaf.Name)).
		Str("service", string(c.leaf.Service)).Str("request", s.id).
		Stringer("fingerprint", s.fingerprint()).Str("kind", c.kind.String()).
		Bool("trial", s.inTrial).Bool("answered", s.answered.Load()).Send()
	s.recordCrash(c.leaf)
}
