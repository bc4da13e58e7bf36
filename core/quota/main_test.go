package quota

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed unless one is given with -rapid.seed.
func TestMain(m *testing.M) {
	flag.Parse()
	if flag.Lookup("rapid.seed").Value.String() == "0" {
		_ = flag.Set("rapid.seed", "20261204")
	}
	os.Exit(m.Run())
}
