package anvilwire

import (
	"unicode/utf8"

	"anvilbridge/anvilmodel"
)

type answerBody struct {
	RequestID string       `json:"request-id"`
	Snapshot  uint64       `json:"snapshot"`
	Coverage  coverageBody `json:"coverage"`
	Parts     []partBody   `json:"parts"`
	Took      string       `json:"took"`
}

type coverageBody struct {
	Covered int   `json:"covered"`
	Total   int   `json:"total"`
	Missing []int `json:"missing"`
}

// partBody encodes a body as a string if it is valid UTF-8, so that the JSON
// stays readable, and as base64 otherwise. Exactly one of the two fields is set.
type partBody struct {
	Shard  int       `json:"shard"`
	Body   *utf8Text `json:"body,omitempty"`
	Base64 *[]byte   `json:"body-base64,omitempty"`
}

// utf8Text holds UTF-8 bytes that are encoded as a JSON string. It avoids the
// copy that a conversion to string would make.
type utf8Text []byte

// MarshalText returns the bytes without copying them.
func (t *utf8Text) MarshalText() ([]byte, error) {
	return *t, nil
}

// UnmarshalText copies the bytes, because the decoder owns them.
func (t *utf8Text) UnmarshalText(data []byte) error {
	*t = append(make(utf8Text, 0, len(data)), data...)
	return nil
}

// AppendAnswer appends the JSON encoding of an answer.
func AppendAnswer(dst []byte, a *anvilmodel.Answer) ([]byte, error) {
	body := answerBody{
		RequestID: string(a.RequestID),
		Snapshot:  uint64(a.Snapshot),
		Coverage:  encodeCoverage(a.Coverage),
		Parts:     make([]partBody, len(a.Parts)),
		Took:      a.Elapsed.String(),
	}
	for i := range a.Parts {
		p := &a.Parts[i]
		body.Parts[i].Shard = int(p.Shard)
		if utf8.Valid(p.Body) {
			body.Parts[i].Body = (*utf8Text)(&p.Body)
		} else {
			body.Parts[i].Base64 = &p.Body
		}
	}
	return appendJSON(dst, &body, "answer")
}

// DecodeAnswer parses the JSON encoding of an answer. Invalid input gives a
// Malformed error.
func DecodeAnswer(data []byte) (anvilmodel.Answer, error) {
	var body answerBody
	if err := decodeJSON(data, &body, "answer"); err != nil {
		return anvilmodel.Answer{}, err
	}
	return body.toAnswer()
}

func (b *answerBody) toAnswer() (anvilmodel.Answer, error) {
	elapsed, err := parseDuration(b.Took, "took of answer")
	if err != nil {
		return anvilmodel.Answer{}, err
	}
	a := anvilmodel.Answer{
		RequestID: anvilmodel.RequestID(b.RequestID),
		Snapshot:  anvilmodel.Snapshot(b.Snapshot),
		Coverage:  b.Coverage.toCoverage(),
		Parts:     make([]anvilmodel.Part, len(b.Parts)),
		Elapsed:   elapsed,
	}
	for i := range b.Parts {
		a.Parts[i], err = b.Parts[i].toPart()
		if err != nil {
			return anvilmodel.Answer{}, err
		}
	}
	return a, nil
}

func (b *partBody) toPart() (anvilmodel.Part, error) {
	p := anvilmodel.Part{
		Shard: anvilmodel.Shard(b.Shard),
	}
	if (b.Body == nil) == (b.Base64 == nil) {
		return p, Malformed.New("decode part of shard %d: want either body or body-base64", b.Shard)
	}
	if b.Body != nil {
		p.Body = *b.Body
	} else {
		p.Body = *b.Base64
	}
	return p, nil
}

func encodeCoverage(c anvilmodel.Coverage) coverageBody {
	missing := make([]int, len(c.Missing))
	for i, s := range c.Missing {
		missing[i] = int(s)
	}
	return coverageBody{
		Covered: c.Covered,
		Total:   c.Total,
		Missing: missing,
	}
}

func (b *coverageBody) toCoverage() anvilmodel.Coverage {
	c := anvilmodel.Coverage{
		Covered: b.Covered,
		Total:   b.Total,
	}
	for _, s := range b.Missing {
		c.Missing = append(c.Missing, anvilmodel.Shard(s))
	}
	return c
}
