package statechart

import (
	"flag"
	"os"
	"testing"
)

// TestMain sets a fixed seed for rapid unless one is given, so that every run
// checks the same cases.
func TestMain(m *testing.M) {
	flag.Parse()
	if flag.Lookup("rapid.seed").Value.String() == "0" {
		_ = flag.Set("rapid.seed", "1")
	}
	os.Exit(m.Run())
}
