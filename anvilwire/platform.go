package anvilwire

import (
	"net/netip"

	"anvilbridge/anvilmodel"
)

// Document is a base file or overlay as the configuration service holds it.
type Document struct {
	Name    string
	Content []byte
}

// ConfigReply is the reply of the configuration service.
type ConfigReply struct {
	// Version is the store version of the documents.
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

// AppendConfigReply appends the JSON body of a configuration read.
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

// DecodeConfigReply reads the JSON body of a configuration read. It returns
// Malformed, also for two documents of one name.
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
	vmLive    = "live"
	vmLeaving = "leaving"
)

type vmsBody struct {
	VMs []vmBody `json:"vms"`
}

type vmBody struct {
	Name          string `json:"name"`
	Address       string `json:"address"`
	PeerAddress   string `json:"peer-address"`
	FailureDomain string `json:"failure-domain"`
	State         string `json:"state"`
}

// AppendVMList appends the JSON body of the VM list.
func AppendVMList(dst []byte, vms []anvilmodel.ListedVM) ([]byte, error) {
	body := vmsBody{
		VMs: make([]vmBody, len(vms)),
	}
	for i, v := range vms {
		state := vmLive
		if v.Leaving {
			state = vmLeaving
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

// DecodeVMList reads the JSON body of the VM list. It returns Malformed.
func DecodeVMList(data []byte) ([]anvilmodel.ListedVM, error) {
	var body vmsBody
	if err := decodeJSON(data, &body, "VM list"); err != nil {
		return nil, err
	}
	vms := make([]anvilmodel.ListedVM, len(body.VMs))
	for i := range body.VMs {
		v, err := body.VMs[i].vm()
		if err != nil {
			return nil, Malformed.Wrap(err, "decode VM %d", i)
		}
		vms[i] = v
	}
	return vms, nil
}

func (b *vmBody) vm() (anvilmodel.ListedVM, error) {
	if b.Name == "" {
		return anvilmodel.ListedVM{}, Malformed.New("the name is empty")
	}
	address, err := netip.ParseAddrPort(b.Address)
	if err != nil {
		return anvilmodel.ListedVM{}, err
	}
	peer, err := netip.ParseAddrPort(b.PeerAddress)
	if err != nil {
		return anvilmodel.ListedVM{}, err
	}
	if b.State != vmLive && b.State != vmLeaving {
		return anvilmodel.ListedVM{}, Malformed.New("%q is not a state", b.State)
	}
	return anvilmodel.ListedVM{
		Name:          anvilmodel.VMName(b.Name),
		CallerAddress: address,
		PeerAddress:   peer,
		FailureDomain: anvilmodel.FailureDomain(b.FailureDomain),
		Leaving:       b.State == vmLeaving,
	}, nil
}
