package anvilwire_test

import (
	"flag"
	"os"
	"testing"
)

// TestMain sets a fixed seed for rapid unless one is given, so that every run
// checks the same cases and a failure can be reproduced.
func TestMain(m *testing.M) {
	flag.Parse()
	if flag.Lookup("rapid.seed").Value.String() == "0" {
		_ = flag.Set("rapid.seed", "20260727")
	}
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}
