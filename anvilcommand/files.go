package anvilcommand

import (
	"os"

	"anvilbridge/anvilconfig"
)

// Files holds the flags that name the documents of a configuration.
type Files struct {
	Base    string   `help:"Base file." required:"" placeholder:"FILE"`
	Overlay []string `help:"Overlay of one site; may be repeated." sep:"none" placeholder:"FILE"`
}

// readDocuments reads the files; each document is named after its file. It returns
// an UnreadableFile error for the first file that cannot be read.
func (f *Files) readDocuments() (base anvilconfig.Document, overlays []anvilconfig.Document, err error) {
	base, err = readDocument(f.Base)
	if err != nil {
		return base, nil, err
	}
	for _, path := range f.Overlay {
		overlay, err := readDocument(path)
		if err != nil {
			return base, nil, err
		}
		overlays = append(overlays, overlay)
	}
	return base, overlays, nil
}

// loadConfiguration returns the configuration, or an InvalidConfiguration error
// that lists all findings.
func (f *Files) loadConfiguration() (*anvilconfig.Configuration, error) {
	base, overlays, err := f.readDocuments()
	if err != nil {
		return nil, err
	}
	configuration, findings := anvilconfig.Load(base, overlays)
	if len(findings) > 0 {
		return nil, InvalidConfiguration.New("the configuration has %d findings:\n%v", len(findings), findings)
	}
	return configuration, nil
}

func readDocument(path string) (anvilconfig.Document, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return anvilconfig.Document{}, UnreadableFile.Wrap(err, "cannot read a configuration document")
	}
	return anvilconfig.Document{
		Name:    path,
		Content: content,
	}, nil
}
