package anvilcommand

import (
	"fmt"
	"io"

	"anvilbridge/anvilconfig"
)

// Check reports the errors in a base file and its overlays.
type Check struct {
	Files
	Site string `help:"Also require that the base file declares this site."`
}

// Run prints one line per finding, or a line with the sites if the documents are
// valid. It returns an error if there are findings or a file cannot be read.
func (c *Check) Run(stdout io.Writer) error {
	base, overlays, err := c.readDocuments()
	if err != nil {
		return err
	}
	configuration, findings := anvilconfig.Load(base, overlays)
	for _, f := range findings {
		if _, err := fmt.Fprintln(stdout, f); err != nil {
			return err
		}
	}
	if len(findings) > 0 {
		return InvalidConfiguration.New("the configuration has %d findings", len(findings))
	}
	if c.Site != "" && configuration.Settings(anvilconfig.SiteName(c.Site)) == nil {
		return UnknownSite.New("the base file declares no site %q, only %v", c.Site, configuration.Sites())
	}
	_, err = fmt.Fprintf(stdout, "valid: sites %v\n", configuration.Sites())
	return err
}
