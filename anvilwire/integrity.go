package anvilwire

import (
	"net/http"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"anvilbridge/anvilmodel"
)

const checksumDigits = 16

// Checksum returns the xxhash64 of the body as 16 lower-case hex digits.
func Checksum(body []byte) string {
	const digits = "0123456789abcdef"
	sum := xxhash.Sum64(body)
	var text [checksumDigits]byte
	for i := len(text) - 1; i >= 0; i-- {
		text[i] = digits[sum&0xf]
		sum >>= 4
	}
	return string(text[:])
}

// SetIntegrity states the length and checksum of the body.
func SetIntegrity(h http.Header, body []byte) {
	values := []string{
		strconv.Itoa(len(body)),
		Checksum(body),
	}
	h[HeaderLength] = values[0:1:1]
	h[HeaderChecksum] = values[1:2:2]
}

// VerifyIntegrity compares a body with the stated length and checksum. It
// returns Malformed if they are not stated, Truncated or Corrupt.
func VerifyIntegrity(h http.Header, body []byte) error {
	length, err := headerUint(h, HeaderLength, 63, true)
	if err != nil {
		return err
	}
	if length != uint64(len(body)) {
		return Truncated.New("the body has %d bytes instead of the stated %d", len(body), length)
	}
	if sum := Checksum(body); sum != first(h, HeaderChecksum) {
		return Corrupt.New("the body has checksum %s instead of the stated %q", sum, first(h, HeaderChecksum))
	}
	return nil
}

// SetReplyHeader states whose reply it is, with length and checksum.
func SetReplyHeader(h http.Header, id anvilmodel.RequestID, body []byte) {
	h[HeaderRequestID] = []string{string(id)}
	SetIntegrity(h, body)
}

// VerifyReply checks that a reply belongs to the request and is whole. It
// returns Crossed, Truncated, Corrupt or Malformed.
func VerifyReply(h http.Header, id anvilmodel.RequestID, body []byte) error {
	if got := first(h, HeaderRequestID); got != string(id) {
		return Crossed.New("the reply names request %q instead of %q", got, id)
	}
	return VerifyIntegrity(h, body)
}
