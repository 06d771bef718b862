package anvildemo

import (
	"fmt"
	"strings"

	"anvilbridge/anvilmodel"
)

// site is the only site of the demo.
const site = "demo"

// serviceSettings holds the settings of a service in the base file.
type serviceSettings struct {
	name            anvilmodel.ServiceName
	slots           int
	connections     int
	coldConcurrency int
	classes         []classSettings
}

type classSettings struct {
	name string
	// yaml holds the settings of the class, without its services, in YAML flow
	// style.
	yaml string
}

// baseFile returns a base file for the fake leaves. The durations of a cold start
// are short, so that a demo of a few seconds includes a complete one.
func baseFile(services []serviceSettings, leaves []anvilmodel.Leaf, domains []anvilmodel.FailureDomain, slots []slotSettings) string {
	b := &strings.Builder{}
	line := func(format string, values ...any) { _, _ = fmt.Fprintf(b, format+"\n", values...) }
	line("sites: [%s]", site)
	line("failure-domains:")
	for _, d := range domains {
		line("  %s: {}", d)
	}
	line("entry-slots:")
	for _, s := range slots {
		line("  %s: {failure-domain: %s}", s.name, s.domain)
	}
	line("services:")
	for _, s := range services {
		line("  %s:", s.name)
		line("    slots: %d", s.slots)
		line("    connections: %d", s.connections)
		line("    cold-concurrency: %d", s.coldConcurrency)
		line("    cold-duration: 500ms")
		line("    connect-time: 1ms")
		line("    leafs:")
		for _, l := range leaves {
			if l.Service == s.name {
				line("      %s: {address: \"%s\", failure-domain: %s}", l.Name, l.Address, l.FailureDomain)
			}
		}
	}
	line("classes:")
	for _, s := range services {
		for _, c := range s.classes {
			line("  %s: {%s, services: [%s]}", c.name, c.yaml, s.name)
		}
	}
	line("policy:")
	line("  cold-quiet-period: 500ms")
	return b.String()
}

type slotSettings struct {
	name   anvilmodel.SlotName
	domain anvilmodel.FailureDomain
}

// overlayFile returns an overlay that takes the given failure domain out, or none
// if it is empty.
func overlayFile(out anvilmodel.FailureDomain) string {
	text := "site: " + site + "\n"
	if out != "" {
		text += fmt.Sprintf("failure-domains:\n  %s: {state: out}\n", out)
	}
	return text
}
