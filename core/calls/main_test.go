package calls

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of the property tests, so that every run has the same
// verdict.
func TestMain(m *testing.M) {
	flag.Parse()
	set("rapid.seed", "20261204")
	set("rapid.checks", "1500")
	set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

// set gives a flag its value, unless the command line gave it one.
func set(name, value string) {
	given := false
	flag.Visit(func(f *flag.Flag) { given = given || f.Name == name })
	if given {
		return
	}
	if err := flag.Set(name, value); err != nil {
		panic(err)
	}
}
