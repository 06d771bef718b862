package anvilwire

import (
	"net/netip"
	"time"

	"anvilbridge/anvilmodel"
)

// AddressList names the nodes that a caller should use, best first. The JSON
// encoding of a member contains its name, caller address, incarnation, ticket
// epoch and failure domain only.
type AddressList struct {
	Members []anvilmodel.Member
	// Lifetime is how long the caller may cache the list.
	Lifetime time.Duration
}

type addressListBody struct {
	Addresses []addressBody `json:"addresses"`
	Lifetime  string        `json:"lifetime"`
}

type addressBody struct {
	Name          string `json:"name"`
	Address       string `json:"address"`
	Incarnation   uint64 `json:"incarnation"`
	TicketEpoch   uint32 `json:"ticket-epoch"`
	FailureDomain string `json:"failure-domain"`
}

// AppendAddresses appends the JSON encoding of an address list.
func AppendAddresses(dst []byte, a *AddressList) ([]byte, error) {
	body := addressListBody{
		Addresses: make([]addressBody, len(a.Members)),
		Lifetime:  a.Lifetime.String(),
	}
	for i, m := range a.Members {
		body.Addresses[i] = addressBody{
			Name:          string(m.Name),
			Address:       m.CallerAddress.String(),
			Incarnation:   uint64(m.Incarnation),
			TicketEpoch:   m.TicketEpoch,
			FailureDomain: string(m.FailureDomain),
		}
	}
	return appendJSON(dst, &body, "addresses")
}

// DecodeAddresses parses the JSON encoding of an address list. Invalid input
// gives a Malformed error.
func DecodeAddresses(data []byte) (AddressList, error) {
	var body addressListBody
	if err := decodeJSON(data, &body, "addresses"); err != nil {
		return AddressList{}, err
	}
	lifetime, err := parseDuration(body.Lifetime, "lifetime of addresses")
	if err != nil {
		return AddressList{}, err
	}
	a := AddressList{
		Members:  make([]anvilmodel.Member, len(body.Addresses)),
		Lifetime: lifetime,
	}
	for i, b := range body.Addresses {
		address, err := netip.ParseAddrPort(b.Address)
		if err != nil {
			return AddressList{}, Malformed.Wrap(err, "decode address %d", i)
		}
		a.Members[i] = anvilmodel.Member{
			Name:          anvilmodel.VMName(b.Name),
			FailureDomain: anvilmodel.FailureDomain(b.FailureDomain),
			CallerAddress: address,
			Incarnation:   anvilmodel.Incarnation(b.Incarnation),
			TicketEpoch:   b.TicketEpoch,
		}
	}
	return a, nil
}
