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

// SetIntegrity sets the headers with the length and the checksum of the body.
func SetIntegrity(h http.Header, body []byte) {
	values := []string{
		strconv.Itoa(len(body)),
		Checksum(body),
	}
	h[HeaderLength] = values[0:1:1]
	h[HeaderChecksum] = values[1:2:2]
}

// VerifyIntegrity compares a body with the length and checksum headers. A
// missing or invalid length gives a Malformed error, a different length
// Truncated, and a missing or different checksum Corrupt.
func VerifyIntegrity(h http.Header, body []byte) error {
	length, err := parseHeaderUint(h, HeaderLength, 63, true)
	if err != nil {
		return err
	}
	if length != uint64(len(body)) {
		return Truncated.New("body has %d bytes, want %d", len(body), length)
	}
	if sum := Checksum(body); sum != firstValue(h, HeaderChecksum) {
		return Corrupt.New("body has checksum %s, want %q", sum, firstValue(h, HeaderChecksum))
	}
	return nil
}

// SetReplyHeader sets the headers with which a caller verifies its reply: the
// request id, the length and the checksum.
func SetReplyHeader(h http.Header, id anvilmodel.RequestID, body []byte) {
	h[HeaderRequestID] = []string{string(id)}
	SetIntegrity(h, body)
}

// VerifyReply checks that a reply belongs to the request and that its body is
// complete and unchanged. It returns Crossed, Truncated, Corrupt or Malformed.
func VerifyReply(h http.Header, id anvilmodel.RequestID, body []byte) error {
	if got := firstValue(h, HeaderRequestID); got != string(id) {
		return Crossed.New("reply belongs to request %q, want %q", got, id)
	}
	return VerifyIntegrity(h, body)
}
