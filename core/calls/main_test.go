package calls

import (
	"flag"
	"os"
	"testing"
)

// TestMain sets a fixed seed for the property tests, so that runs are
// reproducible.
func TestMain(m *testing.M) {
	flag.Parse()
	setDefault("rapid.seed", "20261204")
	setDefault("rapid.checks", "1500")
	setDefault("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

// setDefault sets a flag, unless it was set on the command line.
func setDefault(name, value string) {
	onCommandLine := false
	flag.Visit(func(f *flag.Flag) { onCommandLine = onCommandLine || f.Name == name })
	if onCommandLine {
		return
	}
	if err := flag.Set(name, value); err != nil {
		panic(err)
	}
}
