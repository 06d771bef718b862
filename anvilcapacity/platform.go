package anvilcapacity

import (
	"runtime"
	"time"

	"anvilbridge/anvilmodel"
	"anvilbridge/anvilwire"
)

// measurePlatform counts reads of the platform and their bytes.
func measurePlatform() ([]Slope, error) {
	nodes := []int{4, 16, 64, 256, designNodes}
	watches := Slope{
		Name:     "platform-watches",
		What:     "reads of the configuration service by all nodes, by the rule of anvilnode/platform.go",
		Kind:     KindCount,
		Unit:     "reads/s",
		SizeName: "nodes",
		Sizes:    floats(nodes),
		Targets: []Target{{
			What:  "watches of 3 nodes of each failure domain and 230 changes a day",
			Size:  designNodes,
			Unit:  "reads/s",
			Limit: designReads,
		}},
	}
	lists := Slope{
		Name:     "platform-lists",
		What:     "reads of the VM list by all nodes, by the rule of anvilnode/platform.go",
		Kind:     KindCount,
		Unit:     "reads/s",
		SizeName: "nodes",
		Sizes:    floats(nodes),
		Targets: []Target{{
			What:  "reads of the list",
			Size:  designNodes,
			Unit:  "reads/s",
			Limit: designReads,
		}},
	}
	listBytes := Slope{
		Name:     "platform-list-bytes",
		What:     "body of one read of the VM list",
		Kind:     KindCount,
		Unit:     "bytes",
		SizeName: "VMs",
		Sizes:    floats(nodes),
		Targets: []Target{{
			What:   "received by a node, which reads it every 164 s",
			Size:   designNodes,
			Factor: 1 / listEvery(designNodes).Seconds(),
			Unit:   "bytes/s",
			Limit:  designBytes,
			Budget: BudgetControlReceived,
		}},
	}
	for _, n := range nodes {
		watchers := float64(designDomains * min(watchersPerDomain, n/designDomains))
		watches.Values = append(watches.Values, watchers*(1/watchWait.Seconds()+changesPerSec))
		lists.Values = append(lists.Values, float64(n)/listEvery(n).Seconds())
		body, err := anvilwire.AppendVMList(nil, listedVMs(n))
		if err != nil {
			return nil, err
		}
		listBytes.Values = append(listBytes.Values, float64(len(body)))
	}
	cpu, err := measureListCPU(nodes)
	if err != nil {
		return nil, err
	}
	read, err := measureReadBytes()
	return []Slope{watches, lists, listBytes, cpu, read}, err
}

// listEvery is the time between two reads of the VM list by one node.
func listEvery(nodes int) time.Duration {
	return max(listInterval, time.Duration(nodes)*listPerMember)
}

func measureListCPU(nodes []int) (Slope, error) {
	const reads = 50
	s := Slope{
		Name:     "platform-list-cpu",
		What:     "decoding one VM list",
		Kind:     KindCPU,
		Unit:     "s",
		SizeName: "VMs",
		Sizes:    floats(nodes),
		Targets: []Target{{
			What:   "read every 164 s",
			Size:   designNodes,
			Factor: 1 / listEvery(designNodes).Seconds(),
			Unit:   "cores",
			Limit:  designCPU,
			Budget: BudgetControlCPU,
		}},
	}
	for _, n := range nodes {
		body, err := anvilwire.AppendVMList(nil, listedVMs(n))
		if err != nil {
			return s, err
		}
		var kept []anvilmodel.ListedVM
		s.Values = append(s.Values, leastCPU(func() {
			for range reads {
				if kept, err = anvilwire.DecodeVMList(body); err != nil {
					return
				}
			}
		})/reads)
		runtime.KeepAlive(kept)
		if err != nil {
			return s, err
		}
	}
	return s, nil
}

// measureReadBytes measures what a watcher receives for a change.
func measureReadBytes() (Slope, error) {
	sizes := []int{designDocument / 4, designDocument / 2, designDocument}
	s := Slope{
		Name:     "platform-read-bytes",
		What:     "body of one read of the configuration service",
		Kind:     KindCount,
		Unit:     "bytes",
		SizeName: "bytes of the base file",
		Sizes:    floats(sizes),
		Targets: []Target{{
			What:   "received by each of 12 watchers, 230 changes a day",
			Size:   designDocument,
			Factor: changesPerSec,
			Unit:   "bytes/s",
			Limit:  designBytes,
		}},
	}
	for _, size := range sizes {
		read := anvilwire.ConfigRead{
			Version: 100_000,
		}
		for _, d := range documents(designNodes, size/bytesPerLeaf, size) {
			read.Documents = append(read.Documents, anvilwire.Document(d))
		}
		body, err := anvilwire.AppendConfigRead(nil, &read)
		if err != nil {
			return s, err
		}
		s.Values = append(s.Values, float64(len(body)))
	}
	return s, nil
}
