package admission

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed unless another is asked for.
func TestMain(m *testing.M) {
	flag.Parse()
	if flag.Lookup("rapid.seed").Value.String() == "0" {
		_ = flag.Set("rapid.seed", "20261204")
	}
	os.Exit(m.Run())
}
