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

// partBody carries a body that is valid UTF-8 as text, so that people can read
// it, and any other body as base64. Exactly one of the two is set.
type partBody struct {
	Shard  int     `json:"shard"`
	Body   *text   `json:"body,omitempty"`
	Base64 *[]byte `json:"body-base64,omitempty"`
}

// text is UTF-8 that JSON carries as a string. Unlike a conversion to string
// it is not copied.
type text []byte

// MarshalText returns the bytes themselves.
func (t *text) MarshalText() ([]byte, error) {
	return *t, nil
}

// UnmarshalText copies the bytes, which belong to the decoder.
func (t *text) UnmarshalText(data []byte) error {
	*t = append(make(text, 0, len(data)), data...)
	return nil
}

// AppendAnswer appends the JSON body of an answer.
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
			body.Parts[i].Body = (*text)(&p.Body)
		} else {
			body.Parts[i].Base64 = &p.Body
		}
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
		Elapsed:   took,
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
