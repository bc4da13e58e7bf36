package main

import (
	"fmt"
	"os"

	"github.com/pkg/errors"

	"cornelsaddle.example/cornelsaddle/core/configuration"
	"cornelsaddle.example/cornelsaddle/core/findings"
	"cornelsaddle.example/cornelsaddle/internal/confapply"
)

// checkResult is the output of check.
type checkResult struct {
	Findings []findings.Finding `json:"findings"`
}

// emptyFolderError reports a folder without configuration files.
type emptyFolderError struct{ dir string }

func (e *emptyFolderError) Error() string { return e.dir + ": no configuration files (*.json)" }

// check looks for faults in a configuration without sending it.
func check(args []string) int {
	c := newInvocation("check", "check [-json] DIR")
	rest, code := c.parse(args, 1)
	if code >= 0 {
		return code
	}
	result, err := checkFolder(rest[0])
	if err != nil {
		return c.fail(err)
	}
	return c.reportFindings(result)
}

func checkFolder(dir string) (checkResult, error) {
	files, err := readFolder(dir)
	if err != nil {
		return checkResult{}, err
	}
	_, list, err := configuration.Check(files)
	return checkResult{Findings: list}, err
}

// readFolder reads a configuration folder, which must not be empty: a mistyped path would
// otherwise be reported as many missing fields.
func readFolder(dir string) ([]configuration.File, error) {
	files, err := confapply.ReadFolder(dir)
	if err == nil && len(files) == 0 {
		return nil, errors.WithStack(&emptyFolderError{dir})
	}
	return files, err
}

// reportFindings prints the result and returns exitFailed if there are findings.
func (c *invocation) reportFindings(r checkResult) int {
	if *c.json {
		if r.Findings == nil {
			r.Findings = []findings.Finding{}
		}
		c.print(r)
	} else {
		for _, f := range r.Findings {
			fmt.Printf("%s: %s\n", f.Kind, f)
		}
	}
	if len(r.Findings) == 0 {
		if !*c.json {
			fmt.Println("no findings")
		}
		return exitDone
	}
	fmt.Fprintf(os.Stderr, "cornelsaddlectl check: findings: %d\n", len(r.Findings))
	return exitFailed
}
