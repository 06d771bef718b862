package anvildemo

import (
	"fmt"
	"net/netip"

	"anvilbridge/anvilconfig"
	"anvilbridge/anvilmodel"
	"anvilbridge/anvilstandin"
)

// entrySlots returns the entry slots of a fleet, assigned to the failure domains
// round-robin.
func entrySlots(nodes int) []slotSettings {
	slots := []slotSettings{}
	for i := range nodes {
		slots = append(slots, slotSettings{
			name:   anvilmodel.SlotName(fmt.Sprintf("entry-%d", i+1)),
			domain: failureDomains[i%len(failureDomains)],
		})
	}
	return slots
}

// startCluster starts the fakes and stores a base file and an overlay for them in
// the configuration service.
func startCluster(slots []slotSettings, seed uint64) (*anvilstandin.Cluster, error) {
	cluster, err := anvilstandin.NewCluster(anvilstandin.ClusterConfig{
		Services:       standInServices(),
		FailureDomains: failureDomains,
		Seed:           seed,
	})
	if err != nil {
		return nil, err
	}
	for _, d := range standInDocuments(cluster, slots) {
		cluster.Config().SetDocument(d.Name, d.Content)
	}
	return cluster, nil
}

// StandInConfig holds the settings of StandIns.
type StandInConfig struct {
	Nodes int
	// FirstPort is the loopback port on which callers connect to the first entry VM.
	// The following port is the one for its peers; the ports of the next VMs follow
	// in the same order.
	FirstPort uint16
	Seed      uint64
}

// StandIns runs the fakes that are needed to start nodes by hand.
type StandIns struct {
	ConfigService netip.AddrPort
	VMList        netip.AddrPort
	Control       netip.AddrPort

	cluster *anvilstandin.Cluster
	vms     []anvilmodel.ListedVM
	slots   []slotSettings
}

// StartStandIns starts the fakes. The VM list contains all entry VMs from the
// beginning. Errors are those of anvilstandin.
func StartStandIns(c StandInConfig) (*StandIns, error) {
	slots := entrySlots(c.Nodes)
	cluster, err := startCluster(slots, c.Seed)
	if err != nil {
		return nil, err
	}
	s := &StandIns{
		ConfigService: cluster.Config().Address(),
		VMList:        cluster.VMList().Address(),
		Control:       cluster.ControlAddress(),
		cluster:       cluster,
		slots:         slots,
	}
	loopback := netip.AddrFrom4([4]byte{127, 0, 0, 1})
	for i, slot := range slots {
		port := c.FirstPort + uint16(2*i)
		s.vms = append(s.vms, anvilmodel.ListedVM{
			Name:          anvilmodel.VMName(fmt.Sprintf("vm-%d", i+1)),
			CallerAddress: netip.AddrPortFrom(loopback, port),
			PeerAddress:   netip.AddrPortFrom(loopback, port+1),
			FailureDomain: slot.domain,
		})
	}
	cluster.VMList().Set(s.vms...)
	return s, nil
}

// NodeCommands returns the command lines that start the nodes of the entry VMs.
func (s *StandIns) NodeCommands() []string {
	commands := []string{}
	for i, vm := range s.vms {
		commands = append(commands, fmt.Sprintf(
			"anvilbridge node --name %s --site %s --slot %s --failure-domain %s --caller-address %s --peer-address %s --config-service %s --vm-list %s",
			vm.Name, site, s.slots[i].name, vm.FailureDomain, vm.CallerAddress, vm.PeerAddress, s.ConfigService, s.VMList))
	}
	return commands
}

// Shutdown stops the fakes.
func (s *StandIns) Shutdown() {
	s.cluster.Shutdown()
}

// Documents returns the published base file and overlay.
func (s *StandIns) Documents() []anvilconfig.Document {
	return standInDocuments(s.cluster, s.slots)
}

// standInDocuments returns the base file and the overlay for the leaves of the
// cluster.
func standInDocuments(cluster *anvilstandin.Cluster, slots []slotSettings) []anvilconfig.Document {
	return []anvilconfig.Document{
		{
			Name:    anvilconfig.BaseFileName,
			Content: []byte(baseFile(services(), cluster.Leaves(), failureDomains, slots)),
		},
		{
			Name:    overlayDocument,
			Content: []byte(overlayFile("")),
		},
	}
}
