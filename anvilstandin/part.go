package anvilstandin

import (
	"fmt"

	"github.com/cespare/xxhash/v2"

	"anvilbridge/anvilmodel"
)

// ExpectedPart returns the body with which every stand-in leaf of the service
// answers, so that a caller can verify that an answer is its own.
func ExpectedPart(service anvilmodel.ServiceName, snapshot anvilmodel.Snapshot, shard anvilmodel.Shard, body []byte) []byte {
	return fmt.Appendf(nil, `{"service":%q,"snapshot":%d,"shard":%d,"request-digest":"%016x"}`,
		service, snapshot, shard, xxhash.Sum64(body))
}
