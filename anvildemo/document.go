package anvildemo

import (
	"fmt"
	"strings"

	"anvilbridge/anvilmodel"
)

// site is the only site of the demo.
const site = "demo"

// serviceText holds the settings of a service in the base file.
type serviceText struct {
	name            anvilmodel.ServiceName
	slots           int
	connections     int
	coldConcurrency int
	classes         []classText
}

type classText struct {
	name string
	text string
}

// baseFile returns a base file for the leafs of the stand-ins. The cold times
// are short, so that a run of seconds shows a whole cold start.
func baseFile(services []serviceText, leafs []anvilmodel.Leaf, domains []anvilmodel.FailureDomain, slots []slotText) string {
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
		for _, l := range leafs {
			if l.Service == s.name {
				line("      %s: {address: \"%s\", failure-domain: %s}", l.Name, l.Address, l.FailureDomain)
			}
		}
	}
	line("classes:")
	for _, s := range services {
		for _, c := range s.classes {
			line("  %s: {%s, services: [%s]}", c.name, c.text, s.name)
		}
	}
	line("policy:")
	line("  cold-quiet-period: 500ms")
	return b.String()
}

type slotText struct {
	name   anvilmodel.SlotName
	domain anvilmodel.FailureDomain
}

// overlayText returns the overlay that takes the named failure domain out, or
// none when the name is empty.
func overlayText(out anvilmodel.FailureDomain) string {
	text := "site: " + site + "\n"
	if out != "" {
		text += fmt.Sprintf("failure-domains:\n  %s: {state: out}\n", out)
	}
	return text
}
