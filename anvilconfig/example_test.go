package anvilconfig_test

import (
	"fmt"

	"anvilbridge/anvilconfig"
)

func ExampleLoad() {
	base := document("base.yaml", smallBase)
	overlay := document("overlay-north.yaml", "site: north\nfailure-domains:\n  fd-1: {state: out}\n")
	configuration, findings := anvilconfig.Load(base, []anvilconfig.Document{overlay})
	if len(findings) > 0 {
		fmt.Println(findings)
		return
	}
	settings := configuration.Settings("north")
	fmt.Println(settings.DomainOutOfService("fd-1"), settings.DomainOutOfService("fd-2"))
	leaf, _ := settings.Leaf("portal-00-b")
	fmt.Println(leaf.Service, leaf.Address, leaf.FailureDomain)
	class, _ := settings.Class("buyers")
	fmt.Println(class.Class.Timeout, class.AllowsService("portal"))
	// Output:
	// true false
	// portal 10.0.0.2:7000 fd-2
	// 110ms true
}

func ExampleLoad_findings() {
	overlay := document("overlay-north.yaml", "site: north\npolicy:\n  hedge-budget: 2\n")
	_, findings := anvilconfig.Load(document("base.yaml", smallBase), []anvilconfig.Document{overlay})
	fmt.Println(findings)
	// Output:
	// overlay-north.yaml:3:17: policy.hedge-budget: value out of range: "2" (accepted: number from 0 to 1)
}

func ExampleDiff() {
	before, _ := anvilconfig.Load(document("base.yaml", smallBase), nil)
	overlay := document("overlay-north.yaml", "site: north\nservices: {portal: {slots: 2}}\n")
	after, _ := anvilconfig.Load(document("base.yaml", smallBase), []anvilconfig.Document{overlay})
	for _, change := range anvilconfig.Diff(before.Settings("south"), after.Settings("south")) {
		fmt.Println(change.Path, change.Old, change.New)
	}
	// Output:
	// services.portal.slots 3 2
}
