package anvilcommand

import (
	"os"

	"anvilbridge/anvilconfig"
)

// Files are the flags that name the documents of a configuration.
type Files struct {
	Base    string   `help:"Base file." required:"" placeholder:"FILE"`
	Overlay []string `help:"Overlay of one site; may be repeated." sep:"none" placeholder:"FILE"`
}

// read returns the documents under the names of their files. It returns an
// UnreadableFile error for the first file that cannot be read.
func (f *Files) read() (base anvilconfig.Document, overlays []anvilconfig.Document, err error) {
	base, err = readDocument(f.Base)
	if err != nil {
		return base, nil, err
	}
	for _, path := range f.Overlay {
		d, err := readDocument(path)
		if err != nil {
			return base, nil, err
		}
		overlays = append(overlays, d)
	}
	return base, overlays, nil
}

// load returns the release, or an InvalidConfiguration error that holds all
// findings.
func (f *Files) load() (*anvilconfig.Configuration, error) {
	base, overlays, err := f.read()
	if err != nil {
		return nil, err
	}
	release, findings := anvilconfig.Load(base, overlays)
	if len(findings) > 0 {
		return nil, InvalidConfiguration.New("configuration with %d findings:\n%v", len(findings), findings)
	}
	return release, nil
}

func readDocument(path string) (anvilconfig.Document, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return anvilconfig.Document{}, UnreadableFile.Wrap(err, "read configuration document")
	}
	return anvilconfig.Document{
		Name:    path,
		Content: content,
	}, nil
}
