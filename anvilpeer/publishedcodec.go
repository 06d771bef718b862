package anvilpeer

import (
	"time"

	"anvilbridge/anvilmirror"
	"anvilbridge/anvilmodel"
	"anvilbridge/anvilproto"
)

// PublishedReply holds the changes to a prefix of the platform's store that the
// requesting node is missing.
type PublishedReply struct {
	anvilmirror.Changes
	// Age is the time since the store last confirmed that the replying node's copy is
	// complete; negative if it never has.
	Age time.Duration
	// GraceRemaining is for how much longer entries may be deleted only because of an
	// outage of the store.
	GraceRemaining time.Duration
	// Announcements are those of leaves that the replying node passes on. The store may
	// still list the leaves that depart.
	Announcements anvilmodel.LeafAnnouncements
	// StoreReads are the reads of the store that the replying node passes on.
	StoreReads []anvilmirror.StoreRead
}

// PublishedRequest requests the changes to a prefix of the platform's store that the
// requesting node is missing.
type PublishedRequest struct {
	Prefix string
	// Era is the era of the requesting node's revisions.
	Era uint64
	// CompleteRevision is the revision up to which the requesting node has every change.
	CompleteRevision uint64
	// LatestRevision is the revision of the last change that it has; it may lack earlier ones.
	LatestRevision uint64
	// Digest is the digest of the changes that it has between the two revisions.
	Digest uint64
	// Wait is how long to wait if there is no change after LatestRevision.
	Wait time.Duration
	// Announcements are those of leaves that the requesting node passes on.
	Announcements anvilmodel.LeafAnnouncements
	// KnownCrashDigest is the digest that the replying node stated in its last reply; 0 if there
	// was none. The node replies at once if it has another one.
	KnownCrashDigest uint64
	// StoreReads are the reads of the store that the requesting node passes on.
	StoreReads []anvilmirror.StoreRead
}

func encodePublishedRequest(request PublishedRequest) *anvilproto.PublishedRequest {
	return &anvilproto.PublishedRequest{
		Prefix:     request.Prefix,
		Era:        request.Era,
		After:      request.CompleteRevision,
		Latest:     request.LatestRevision,
		Digest:     request.Digest,
		WaitMicros: request.Wait.Microseconds(),
		Departures: encodeDepartures(request.Announcements.Departures),
		RateLimits: encodeRateLimits(request.Announcements.RateLimits),
		StoreReads: encodeStoreReads(request.StoreReads),

		CrashReports: encodeCrashReports(request.Announcements.CrashReports),
		CrashDigest:  request.Announcements.CrashDigest,

		KnownCrashDigest: request.KnownCrashDigest,
	}
}

func decodePublishedRequest(request *anvilproto.PublishedRequest) PublishedRequest {
	return PublishedRequest{
		Prefix:           request.GetPrefix(),
		Era:              request.GetEra(),
		CompleteRevision: request.GetAfter(),
		LatestRevision:   request.GetLatest(),
		Digest:           request.GetDigest(),
		Wait:             time.Duration(request.GetWaitMicros()) * time.Microsecond,
		Announcements: anvilmodel.LeafAnnouncements{
			Departures:   decodeDepartures(request.GetDepartures()),
			RateLimits:   decodeRateLimits(request.GetRateLimits()),
			CrashReports: decodeCrashReports(request.GetCrashReports()),
			CrashDigest:  request.GetCrashDigest(),
		},
		KnownCrashDigest: request.GetKnownCrashDigest(),
		StoreReads:       decodeStoreReads(request.GetStoreReads()),
	}
}

func encodePublishedReply(reply PublishedReply, c *compressor) *anvilproto.PublishedReply {
	encoded := &anvilproto.PublishedReply{
		Era:       reply.Era,
		Revision:  reply.CompleteRevision,
		Complete:  reply.Snapshot,
		Items:     make([]*anvilproto.PublishedItem, 0, len(reply.Items)),
		AgeMicros: encodeAge(reply.Age),
		Digest:    reply.Digest,

		LapseMicros:  reply.GraceRemaining.Microseconds(),
		Departures:   encodeDepartures(reply.Announcements.Departures),
		RateLimits:   encodeRateLimits(reply.Announcements.RateLimits),
		StoreReads:   encodeStoreReads(reply.StoreReads),
		CrashReports: encodeCrashReports(reply.Announcements.CrashReports),
		CrashDigest:  reply.Announcements.CrashDigest,
	}
	for _, item := range reply.Items {
		value, compressed := c.compress(item, reply.Era)
		encoded.Items = append(encoded.Items, &anvilproto.PublishedItem{
			Key:        item.Key,
			Value:      value,
			Revision:   item.Revision,
			Deleted:    item.Deleted,
			Compressed: compressed,
		})
	}
	return encoded
}

// decodePublishedReply returns Malformed if a value cannot be decompressed.
func decodePublishedReply(encoded *anvilproto.PublishedReply, d *decompressor) (PublishedReply, error) {
	reply := PublishedReply{
		Changes: anvilmirror.Changes{
			Era:              encoded.GetEra(),
			CompleteRevision: encoded.GetRevision(),
			Snapshot:         encoded.GetComplete(),
			Digest:           encoded.GetDigest(),
			Items:            make([]anvilmirror.Item, 0, len(encoded.GetItems())),
		},
		Age:            time.Duration(encoded.GetAgeMicros()) * time.Microsecond,
		GraceRemaining: time.Duration(encoded.GetLapseMicros()) * time.Microsecond,
		Announcements: anvilmodel.LeafAnnouncements{
			Departures:   decodeDepartures(encoded.GetDepartures()),
			RateLimits:   decodeRateLimits(encoded.GetRateLimits()),
			CrashReports: decodeCrashReports(encoded.GetCrashReports()),
			CrashDigest:  encoded.GetCrashDigest(),
		},
		StoreReads: decodeStoreReads(encoded.GetStoreReads()),
	}
	for _, item := range encoded.GetItems() {
		value := item.GetValue()
		if item.GetCompressed() {
			var err error
			if value, err = d.decompress(value); err != nil {
				return PublishedReply{}, Malformed.Wrap(err, "decompressing the item %s", item.GetKey())
			}
		}
		reply.Items = append(reply.Items, anvilmirror.Item{
			Key:      item.GetKey(),
			Value:    value,
			Revision: item.GetRevision(),
			Deleted:  item.GetDeleted(),
		})
	}
	return reply, nil
}

func encodeDepartures(departures []anvilmodel.Departure) []*anvilproto.Departure {
	encoded := make([]*anvilproto.Departure, 0, len(departures))
	for _, d := range departures {
		encoded = append(encoded, &anvilproto.Departure{
			Leaf:          string(d.Leaf),
			StartedMicros: encodeStart(d.StartedAt),
		})
	}
	return encoded
}

func decodeDepartures(encoded []*anvilproto.Departure) []anvilmodel.Departure {
	var departures []anvilmodel.Departure
	for _, e := range encoded {
		departures = append(departures, anvilmodel.Departure{
			Leaf:      anvilmodel.LeafName(e.GetLeaf()),
			StartedAt: decodeStart(e.GetStartedMicros()),
		})
	}
	return departures
}

func encodeRateLimits(notices []anvilmodel.RateLimitNotice) []*anvilproto.RateLimit {
	encoded := make([]*anvilproto.RateLimit, 0, len(notices))
	for _, n := range notices {
		encoded = append(encoded, &anvilproto.RateLimit{
			Leaf:          string(n.Leaf),
			StartedMicros: encodeStart(n.StartedAt),
			Limited:       n.RateLimit.Limited,
			PerSecond:     n.RateLimit.PerSecond,
			AgeMicros:     n.Age.Microseconds(),
		})
	}
	return encoded
}

func decodeRateLimits(encoded []*anvilproto.RateLimit) []anvilmodel.RateLimitNotice {
	var notices []anvilmodel.RateLimitNotice
	for _, e := range encoded {
		notices = append(notices, anvilmodel.RateLimitNotice{
			Leaf:      anvilmodel.LeafName(e.GetLeaf()),
			StartedAt: decodeStart(e.GetStartedMicros()),
			RateLimit: anvilmodel.RateLimit{
				Limited:   e.GetLimited(),
				PerSecond: e.GetPerSecond(),
			},
			Age: time.Duration(e.GetAgeMicros()) * time.Microsecond,
		})
	}
	return notices
}

func encodeCrashReports(reports []anvilmodel.CrashReport) []*anvilproto.CrashReport {
	encoded := make([]*anvilproto.CrashReport, 0, len(reports))
	for _, r := range reports {
		encoded = append(encoded, &anvilproto.CrashReport{
			Fingerprint:  r.Fingerprint[:],
			Crashes:      r.Crashes,
			TrialCrashes: r.TrialCrashes,
			Quarantined:  r.Quarantined,
			AgeMicros:    r.Age.Microseconds(),
		})
	}
	return encoded
}

// decodeCrashReports skips reports whose fingerprint has another size.
func decodeCrashReports(encoded []*anvilproto.CrashReport) []anvilmodel.CrashReport {
	var reports []anvilmodel.CrashReport
	for _, e := range encoded {
		if len(e.GetFingerprint()) != anvilmodel.FingerprintSize {
			continue
		}
		reports = append(reports, anvilmodel.CrashReport{
			Fingerprint:  anvilmodel.Fingerprint(e.GetFingerprint()),
			Crashes:      e.GetCrashes(),
			TrialCrashes: e.GetTrialCrashes(),
			Quarantined:  e.GetQuarantined(),
			Age:          time.Duration(e.GetAgeMicros()) * time.Microsecond,
		})
	}
	return reports
}

// encodeAge encodes a negative age as one that is still negative in microseconds.
func encodeAge(age time.Duration) int64 {
	if age < 0 {
		return -1
	}
	return age.Microseconds()
}

func encodeStoreReads(reads []anvilmirror.StoreRead) []*anvilproto.StoreRead {
	encoded := make([]*anvilproto.StoreRead, 0, len(reads))
	for _, r := range reads {
		encoded = append(encoded, &anvilproto.StoreRead{
			Node:             string(r.Node),
			SuccessAgeMicros: encodeAge(r.SuccessAge),
			Lost:             r.Lost,
			LossAgeMicros:    r.LossAge.Microseconds(),
		})
	}
	return encoded
}

func decodeStoreReads(encoded []*anvilproto.StoreRead) []anvilmirror.StoreRead {
	var reads []anvilmirror.StoreRead
	for _, e := range encoded {
		reads = append(reads, anvilmirror.StoreRead{
			Node:       anvilmodel.VMName(e.GetNode()),
			SuccessAge: time.Duration(e.GetSuccessAgeMicros()) * time.Microsecond,
			Lost:       e.GetLost(),
			LossAge:    time.Duration(e.GetLossAgeMicros()) * time.Microsecond,
		})
	}
	return reads
}

// encodeStart encodes a zero time, which stands for one that is not stated, as 0.
func encodeStart(at time.Time) int64 {
	if at.IsZero() {
		return 0
	}
	return at.UnixMicro()
}

func decodeStart(micros int64) time.Time {
	if micros == 0 {
		return time.Time{}
	}
	return time.UnixMicro(micros)
}
