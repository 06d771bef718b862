package anvilcommand

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"strings"

	"anvilbridge/anvilconfig"
)

// Diff prints the differences between two sets of documents.
type Diff struct {
	Old  Files  `embed:""`
	New  Files  `embed:"" prefix:"new-"`
	Site string `help:"Compare this site only."`
}

// Run prints one line per changed field, with the sites at which it changes. It
// returns an error if either set has findings, or if neither declares the site.
func (d *Diff) Run(stdout io.Writer) error {
	before, err := d.Old.loadConfiguration()
	if err != nil {
		return err
	}
	after, err := d.New.loadConfiguration()
	if err != nil {
		return err
	}
	sites := slices.Concat(before.Sites(), after.Sites())
	slices.Sort(sites)
	sites = slices.Compact(sites)
	if d.Site != "" {
		if !slices.Contains(sites, anvilconfig.SiteName(d.Site)) {
			return UnknownSite.New("neither base file declares site %q, only %v", d.Site, sites)
		}
		sites = []anvilconfig.SiteName{anvilconfig.SiteName(d.Site)}
	}
	return printChanges(stdout, sites, before, after)
}

// printChanges prints the changes of all sites. A change that several sites have in
// common is printed once.
func printChanges(stdout io.Writer, sites []anvilconfig.SiteName, before, after *anvilconfig.Configuration) error {
	sitesByChange := map[anvilconfig.Change][]string{}
	var changes []anvilconfig.Change
	for _, site := range sites {
		for _, c := range anvilconfig.Diff(before.Settings(site), after.Settings(site)) {
			if sitesByChange[c] == nil {
				changes = append(changes, c)
			}
			sitesByChange[c] = append(sitesByChange[c], string(site))
		}
	}
	slices.SortStableFunc(changes, func(a, b anvilconfig.Change) int {
		return cmp.Compare(a.Path, b.Path)
	})
	for _, c := range changes {
		_, err := fmt.Fprintf(stdout, "%s: %s -> %s (%s)\n",
			c.Path, formatValue(c.Old), formatValue(c.New), strings.Join(sitesByChange[c], ", "))
		if err != nil {
			return err
		}
	}
	return nil
}

func formatValue(value string) string {
	return cmp.Or(value, "(absent)")
}
