package anvilwire

import (
	"encoding/base64"
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

// partBody carries a body that is valid UTF-8 as text, so that people can read
// it, and any other body as base64. Exactly one of the two is set.
type partBody struct {
	Shard  int     `json:"shard"`
	Body   *string `json:"body,omitempty"`
	Base64 *string `json:"body-base64,omitempty"`
}

// AppendAnswer appends the JSON body of an answer.
func AppendAnswer(dst []byte, a *anvilmodel.Answer) ([]byte, error) {
	texts := make([]string, len(a.Parts))
	body := answerBody{
		RequestID: string(a.RequestID),
		Snapshot:  uint64(a.Snapshot),
		Coverage:  encodeCoverage(a.Coverage),
		Parts:     make([]partBody, len(a.Parts)),
		Took:      a.Took.String(),
	}
	for i, p := range a.Parts {
		body.Parts[i].Shard = int(p.Shard)
		if utf8.Valid(p.Body) {
			texts[i] = string(p.Body)
			body.Parts[i].Body = &texts[i]
			continue
		}
		texts[i] = base64.StdEncoding.EncodeToString(p.Body)
		body.Parts[i].Base64 = &texts[i]
	}
	return appendJSON(dst, &body, "answer")
}

// DecodeAnswer reads the JSON body of an answer. It returns Malformed.
func DecodeAnswer(data []byte) (anvilmodel.Answer, error) {
	var body answerBody
	if err := decodeJSON(data, &body, "answer"); err != nil {
		return anvilmodel.Answer{}, err
	}
	return body.answer()
}

func (b *answerBody) answer() (anvilmodel.Answer, error) {
	took, err := parseDuration(b.Took, "took of answer")
	if err != nil {
		return anvilmodel.Answer{}, err
	}
	a := anvilmodel.Answer{
		RequestID: anvilmodel.RequestID(b.RequestID),
		Snapshot:  anvilmodel.Snapshot(b.Snapshot),
		Coverage:  b.Coverage.coverage(),
		Parts:     make([]anvilmodel.Part, len(b.Parts)),
		Took:      took,
	}
	for i := range b.Parts {
		a.Parts[i], err = b.Parts[i].part()
		if err != nil {
			return anvilmodel.Answer{}, err
		}
	}
	return a, nil
}

func (b *partBody) part() (anvilmodel.Part, error) {
	p := anvilmodel.Part{
		Shard: anvilmodel.Shard(b.Shard),
	}
	if (b.Body == nil) == (b.Base64 == nil) {
		return p, Malformed.New("decode part of shard %d: want either body or body-base64", b.Shard)
	}
	if b.Body != nil {
		p.Body = []byte(*b.Body)
		return p, nil
	}
	data, err := base64.StdEncoding.DecodeString(*b.Base64)
	if err != nil {
		return p, Malformed.Wrap(err, "decode part of shard %d", b.Shard)
	}
	p.Body = data
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

func (b *coverageBody) coverage() anvilmodel.Coverage {
	c := anvilmodel.Coverage{
		Covered: b.Covered,
		Total:   b.Total,
	}
	for _, s := range b.Missing {
		c.Missing = append(c.Missing, anvilmodel.Shard(s))
	}
	return c
}
