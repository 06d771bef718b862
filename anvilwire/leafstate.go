package anvilwire

import "anvilbridge/anvilmodel"

type leafStateBody struct {
	Incarnation uint64        `json:"incarnation"`
	Cold        bool          `json:"cold"`
	Draining    bool          `json:"draining"`
	Load        float64       `json:"load"`
	Holdings    []holdingBody `json:"holdings"`
}

type holdingBody struct {
	Snapshot uint64 `json:"snapshot"`
	Shard    int    `json:"shard"`
	Shards   int    `json:"shards"`
}

// AppendLeafState appends the JSON encoding of a leaf's state, as the leaf's
// state endpoint serves it. The leaf's name and the age of the state are not
// part of it.
func AppendLeafState(dst []byte, s *anvilmodel.LeafState) ([]byte, error) {
	body := leafStateBody{
		Incarnation: uint64(s.Incarnation),
		Cold:        s.Cold,
		Draining:    s.Draining,
		Load:        s.Load,
		Holdings:    make([]holdingBody, len(s.Holdings)),
	}
	for i, h := range s.Holdings {
		body.Holdings[i] = holdingBody{
			Snapshot: uint64(h.Snapshot),
			Shard:    int(h.Shard),
			Shards:   h.ShardCount,
		}
	}
	return appendJSON(dst, &body, "leaf state")
}

// DecodeLeafState parses the JSON encoding of a leaf's state. Invalid input
// gives a Malformed error, as does a holding whose shard is not below the shard
// count.
func DecodeLeafState(data []byte) (anvilmodel.LeafState, error) {
	var body leafStateBody
	if err := decodeJSON(data, &body, "leaf state"); err != nil {
		return anvilmodel.LeafState{}, err
	}
	if body.Incarnation == 0 {
		return anvilmodel.LeafState{}, Malformed.New("decode leaf state: incarnation is missing")
	}
	s := anvilmodel.LeafState{
		Incarnation: anvilmodel.Incarnation(body.Incarnation),
		Cold:        body.Cold,
		Draining:    body.Draining,
		Load:        max(body.Load, 0),
		Holdings:    make([]anvilmodel.Holding, len(body.Holdings)),
	}
	for i, h := range body.Holdings {
		if h.Shard < 0 || h.Shard >= h.Shards {
			return anvilmodel.LeafState{}, Malformed.New("decode leaf state: snapshot %d has shard %d, want 0 or more and below the shard count %d",
				h.Snapshot, h.Shard, h.Shards)
		}
		s.Holdings[i] = anvilmodel.Holding{
			Snapshot:   anvilmodel.Snapshot(h.Snapshot),
			Shard:      anvilmodel.Shard(h.Shard),
			ShardCount: h.Shards,
		}
	}
	return s, nil
}
