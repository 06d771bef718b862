package anvilstandin

import (
	"fmt"

	"github.com/cespare/xxhash/v2"

	"anvilbridge/anvilmodel"
)

// ExpectedPart returns the body with which all fake leaves of a service answer a
// request. It contains a digest of the request body, so that callers can verify
// that an answer belongs to their request.
func ExpectedPart(service anvilmodel.ServiceName, snapshot anvilmodel.Snapshot, shard anvilmodel.Shard, body []byte) []byte {
	return fmt.Appendf(nil, `{"service":%q,"snapshot":%d,"shard":%d,"request-digest":"%016x"}`,
		service, snapshot, shard, xxhash.Sum64(body))
}
