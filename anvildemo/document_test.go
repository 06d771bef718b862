package anvildemo_test

import (
	"bytes"
	"testing"

	"anvilbridge/anvilconfig"
	"anvilbridge/anvildemo"
)

// TestStandInConfigurationIsValid guards against publishing a configuration that
// nodes refuse.
func TestStandInConfigurationIsValid(t *testing.T) {
	standIns, err := anvildemo.StartStandIns(anvildemo.StandInConfig{
		Nodes:     4,
		FirstPort: 7100,
	})
	if err != nil {
		t.Fatal(err)
	}
	defer standIns.Shutdown()
	var base anvilconfig.Document
	overlays := []anvilconfig.Document{}
	for _, d := range standIns.Documents() {
		if d.Name == anvilconfig.BaseFileName {
			base = d
			continue
		}
		overlays = append(overlays, d)
	}
	configuration, findings := anvilconfig.Load(base, overlays)
	for _, f := range findings {
		t.Error(f)
	}
	if configuration == nil || bytes.Count(base.Content, []byte("\n")) < 60 {
		t.Errorf("base file of %d bytes was not loaded", len(base.Content))
	}
}
