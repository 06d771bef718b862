package anvilwire

import (
	"strconv"
	"strings"

	"anvilbridge/anvilmodel"
)

// TicketIDDigits is the number of hex digits of a ticket's 128-bit random id.
const TicketIDDigits = 32

// FormatTicket formats a ticket as <incarnation>.<epoch>.<hex id>. The zero
// ticket gives an empty string.
func FormatTicket(t anvilmodel.Ticket) string {
	if t.IsZero() {
		return ""
	}
	buf := make([]byte, 0, 20+1+10+1+TicketIDDigits)
	buf = strconv.AppendUint(buf, uint64(t.Incarnation), 10)
	buf = append(buf, '.')
	buf = strconv.AppendUint(buf, uint64(t.Epoch), 10)
	buf = append(buf, '.')
	buf = append(buf, t.ID...)
	return string(buf)
}

// ParseTicket parses a ticket. It accepts only the exact format of FormatTicket,
// so that a ticket has a single representation; other text gives a Malformed
// error.
func ParseTicket(text string) (anvilmodel.Ticket, error) {
	incarnationText, rest, _ := strings.Cut(text, ".")
	epochText, id, found := strings.Cut(rest, ".")
	if !found {
		return anvilmodel.Ticket{}, Malformed.New("decode ticket %q: want <incarnation>.<epoch>.<hex id>", text)
	}
	incarnationValue, err := parseCanonicalUint(incarnationText, 64)
	if err != nil {
		return anvilmodel.Ticket{}, Malformed.Wrap(err, "decode incarnation of ticket %q", text)
	}
	epochValue, err := parseCanonicalUint(epochText, 32)
	if err != nil {
		return anvilmodel.Ticket{}, Malformed.Wrap(err, "decode epoch of ticket %q", text)
	}
	if !validTicketID(id) {
		return anvilmodel.Ticket{}, Malformed.New("decode ticket %q: want %d lower-case hex digits as id", text, TicketIDDigits)
	}
	return anvilmodel.Ticket{
		Incarnation: anvilmodel.Incarnation(incarnationValue),
		Epoch:       uint32(epochValue),
		ID:          id,
	}, nil
}

// parseCanonicalUint parses a decimal number without sign or leading zeros.
func parseCanonicalUint(text string, bits int) (uint64, error) {
	n, err := strconv.ParseUint(text, 10, bits)
	if err != nil {
		return 0, err
	}
	if len(text) > 1 && text[0] == '0' {
		return 0, Malformed.New("%q has a leading zero", text)
	}
	return n, nil
}

func validTicketID(id string) bool {
	if len(id) != TicketIDDigits {
		return false
	}
	for i := range len(id) {
		c := id[i]
		if (c < '0' || c > '9') && (c < 'a' || c > 'f') {
			return false
		}
	}
	return true
}
