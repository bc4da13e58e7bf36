package statechart

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes rapid's seed, so that every run checks the same cases.
func TestMain(m *testing.M) {
	flag.Parse()
	if flag.Lookup("rapid.seed").Value.String() == "0" {
		_ = flag.Set("rapid.seed", "1")
	}
	os.Exit(m.Run())
}
