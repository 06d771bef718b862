package anvilcommand

import (
	"io"

	"anvilbridge/anvilconfig"
)

// Render prints the effective configuration of a site.
type Render struct {
	Files
	Site string `help:"Site to render; not needed if the base file declares only one."`
}

// Run prints the configuration in the format of a base file, with the origin of
// each value. It returns an error if the documents have findings or the base file
// does not declare the site.
func (r *Render) Run(stdout io.Writer) error {
	configuration, err := r.loadConfiguration()
	if err != nil {
		return err
	}
	site := anvilconfig.SiteName(r.Site)
	if sites := configuration.Sites(); site == "" && len(sites) == 1 {
		site = sites[0]
	}
	if configuration.Settings(site) == nil {
		return UnknownSite.New("the base file declares no site %q, only %v", site, configuration.Sites())
	}
	rendered, err := configuration.Render(site)
	if err != nil {
		return err
	}
	_, err = stdout.Write(rendered)
	return err
}
