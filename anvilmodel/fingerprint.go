package anvilmodel

import "encoding/hex"

// FingerprintSize is the size of a Fingerprint in bytes.
const FingerprintSize = 16

// Fingerprint identifies what a request asks for: its attempts have different IDs and the same
// fingerprint.
type Fingerprint [FingerprintSize]byte

// String returns the fingerprint in hexadecimal digits.
func (f Fingerprint) String() string {
	return hex.EncodeToString(f[:])
}
