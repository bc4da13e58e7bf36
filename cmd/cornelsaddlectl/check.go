package main

import (
	"fmt"
	"os"

	"github.com/pkg/errors"

	"cornelsaddle.example/cornelsaddle/core/configuration"
	"cornelsaddle.example/cornelsaddle/core/findings"
	"cornelsaddle.example/cornelsaddle/core/routing"
	"cornelsaddle.example/cornelsaddle/internal/confapply"
	"cornelsaddle.example/cornelsaddle/platform"
)

// documentChecker checks the configuration document of the users' platform.
type documentChecker interface {
	// Check returns the deployment that the document holds, whether it could be decoded, and
	// the findings, without the name of the file. maxAttempts is as in routing.Check.
	Check(data []byte, maxAttempts int) (d routing.Deployment, valid bool, list []findings.Finding)
}

// documents is the form of the documents that the gateway reads.
var documents documentChecker = platform.Documents{}

// checkResult is the output of check.
type checkResult struct {
	Findings []findings.Finding `json:"findings"`
}

// emptyFolderError reports a folder without configuration files.
type emptyFolderError struct{ dir string }

func (e *emptyFolderError) Error() string { return e.dir + ": no configuration files (*.json)" }

// check looks for faults in a configuration without sending it.
func check(args []string) int {
	c := newInvocation("check", "check [-settings FILE] [-json] DIR|FILE")
	settings := c.String("settings", "", "settings file of the gateway, whose retry budget is compared with the routes of the document FILE")
	rest, code := c.parse(args, 1)
	if code >= 0 {
		return code
	}
	info, err := os.Stat(rest[0])
	if err != nil {
		return c.fail(errors.WithStack(err))
	}
	if info.IsDir() && *settings != "" {
		return c.usageError("-settings is for a document, and %s is a folder", rest[0])
	}
	var result checkResult
	if info.IsDir() {
		result, err = checkFolder(rest[0])
	} else {
		result, err = checkDocument(rest[0], *settings)
	}
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

// checkDocument checks a document and, if the path of a settings file is given, compares it
// with that.
func checkDocument(path, settings string) (checkResult, error) {
	maxAttempts := 0
	if settings != "" {
		s, err := platform.LoadSettings(settings)
		if err != nil {
			return checkResult{}, err
		}
		maxAttempts = s.Retries.MaxAttempts()
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return checkResult{}, errors.WithStack(err)
	}
	_, _, list := documents.Check(data, maxAttempts)
	for i := range list {
		list[i].File = path
	}
	return checkResult{Findings: list}, nil
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
