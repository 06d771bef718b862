package anvilwire

import (
	"net/netip"

	"anvilbridge/anvilmodel"
)

// Document is a base file or an overlay as the configuration service stores it.
type Document struct {
	Name    string
	Content []byte
}

// ConfigReply is the reply of the configuration service.
type ConfigReply struct {
	// Version is the version of the documents in the store of the configuration
	// service.
	Version   uint64
	Documents []Document
}

type configBody struct {
	Version   uint64         `json:"version"`
	Documents []documentBody `json:"documents"`
}

type documentBody struct {
	Name    string `json:"name"`
	Content string `json:"content"`
}

// AppendConfigReply appends the JSON encoding of a reply of the configuration
// service.
func AppendConfigReply(dst []byte, c *ConfigReply) ([]byte, error) {
	body := configBody{
		Version:   c.Version,
		Documents: make([]documentBody, len(c.Documents)),
	}
	for i, d := range c.Documents {
		body.Documents[i] = documentBody{
			Name:    d.Name,
			Content: string(d.Content),
		}
	}
	return appendJSON(dst, &body, "configuration")
}

// DecodeConfigReply parses the JSON encoding of a reply of the configuration
// service. Invalid input gives a Malformed error, as do two documents with the
// same name.
func DecodeConfigReply(data []byte) (ConfigReply, error) {
	var body configBody
	if err := decodeJSON(data, &body, "configuration"); err != nil {
		return ConfigReply{}, err
	}
	c := ConfigReply{
		Version:   body.Version,
		Documents: make([]Document, len(body.Documents)),
	}
	seen := make(map[string]bool, len(body.Documents))
	for i, d := range body.Documents {
		if d.Name == "" || seen[d.Name] {
			return ConfigReply{}, Malformed.New("decode configuration: document %d has an empty or repeated name %q", i, d.Name)
		}
		seen[d.Name] = true
		c.Documents[i] = Document{
			Name:    d.Name,
			Content: []byte(d.Content),
		}
	}
	return c, nil
}

const (
	vmStateLive    = "live"
	vmStateLeaving = "leaving"
)

type vmListBody struct {
	VMs []vmBody `json:"vms"`
}

type vmBody struct {
	Name          string `json:"name"`
	Address       string `json:"address"`
	PeerAddress   string `json:"peer-address"`
	FailureDomain string `json:"failure-domain"`
	State         string `json:"state"`
}

// AppendVMList appends the JSON encoding of the VM list.
func AppendVMList(dst []byte, vms []anvilmodel.ListedVM) ([]byte, error) {
	body := vmListBody{
		VMs: make([]vmBody, len(vms)),
	}
	for i, v := range vms {
		state := vmStateLive
		if v.Leaving {
			state = vmStateLeaving
		}
		body.VMs[i] = vmBody{
			Name:          string(v.Name),
			Address:       v.CallerAddress.String(),
			PeerAddress:   v.PeerAddress.String(),
			FailureDomain: string(v.FailureDomain),
			State:         state,
		}
	}
	return appendJSON(dst, &body, "VM list")
}

// DecodeVMList parses the JSON encoding of the VM list. Invalid input gives a
// Malformed error.
func DecodeVMList(data []byte) ([]anvilmodel.ListedVM, error) {
	var body vmListBody
	if err := decodeJSON(data, &body, "VM list"); err != nil {
		return nil, err
	}
	vms := make([]anvilmodel.ListedVM, len(body.VMs))
	for i := range body.VMs {
		v, err := body.VMs[i].toListedVM()
		if err != nil {
			return nil, Malformed.Wrap(err, "decode VM %d", i)
		}
		vms[i] = v
	}
	return vms, nil
}

func (b *vmBody) toListedVM() (anvilmodel.ListedVM, error) {
	if b.Name == "" {
		return anvilmodel.ListedVM{}, Malformed.New("name is empty")
	}
	address, err := netip.ParseAddrPort(b.Address)
	if err != nil {
		return anvilmodel.ListedVM{}, err
	}
	peerAddress, err := netip.ParseAddrPort(b.PeerAddress)
	if err != nil {
		return anvilmodel.ListedVM{}, err
	}
	if b.State != vmStateLive && b.State != vmStateLeaving {
		return anvilmodel.ListedVM{}, Malformed.New("unknown state %q", b.State)
	}
	return anvilmodel.ListedVM{
		Name:          anvilmodel.VMName(b.Name),
		CallerAddress: address,
		PeerAddress:   peerAddress,
		FailureDomain: anvilmodel.FailureDomain(b.FailureDomain),
		Leaving:       b.State == vmStateLeaving,
	}, nil
}
