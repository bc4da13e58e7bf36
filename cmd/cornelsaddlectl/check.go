package main

import (
	"context"
	"fmt"
	"os"

	"github.com/pkg/errors"

	"cornelsaddle.example/cornelsaddle/core/configuration"
	"cornelsaddle.example/cornelsaddle/core/findings"
	"cornelsaddle.example/cornelsaddle/core/routing"
	"cornelsaddle.example/cornelsaddle/internal/confapply"
	store "cornelsaddle.example/cornelsaddle/internal/platform"
	"cornelsaddle.example/cornelsaddle/platform"
)

// documentChecker checks the configuration document of the users' platform.
type documentChecker interface {
	// Check returns the deployment that the document holds, whether it could be decoded, and
	// the findings, without the name of the file.
	Check(data []byte, env routing.Environment) (d routing.Deployment, valid bool, list []findings.Finding)
	// InForce returns the document that the store at the address holds.
	InForce(ctx context.Context, address string) ([]byte, error)
	// Endpoints returns the number of endpoints by service that get new work, from the
	// registry in the store at the address.
	Endpoints(ctx context.Context, address string) (map[string]int, error)
}

// documents is the form of the documents that the gateway reads.
var documents documentChecker = platform.Documents{}

// checkResult is the output of check.
type checkResult struct {
	Findings []findings.Finding `json:"findings"`
	// Differences is nil if there was nothing to compare with, or the configuration is invalid.
	Differences []findings.Difference `json:"differences,omitzero"`
	// Error tells what could not be read; the findings are those made without it.
	Error string `json:"error,omitempty"`
}

// emptyFolderError reports a folder without configuration files.
type emptyFolderError struct{ dir string }

func (e *emptyFolderError) Error() string { return e.dir + ": no configuration files (*.json)" }

// invalidBaseError reports that the version to compare with can't be decoded.
type invalidBaseError struct {
	source  string
	finding findings.Finding
}

func (e *invalidBaseError) Error() string {
	e.finding.File = e.source
	return "the version to compare with can't be decoded: " + e.finding.String()
}

// checker holds the flags of check.
type checker struct {
	*invocation
	settings, against, store *string
	version                  *int64
}

// check looks for faults in a configuration without sending it.
func check(args []string) int {
	c := checker{invocation: newInvocation("check", "check [-against PATH | -platform IP:PORT [-version N]] [-settings FILE] [-json] DIR|FILE")}
	c.settings = c.String("settings", "", "settings file of the gateway, whose retry budget is compared with the routes of the document FILE")
	c.against = c.String("against", "", "folder or document of the version in force, to compare with")
	c.store = c.String("platform", "", "address of the platform, IP:PORT, whose version in force and, for a document, endpoints are compared with")
	c.version = c.Int64("version", 0, "version of the folder on the platform to compare with; 0 for the newest")
	rest, code := c.parse(args, 1)
	if code >= 0 {
		return code
	}
	info, err := os.Stat(rest[0])
	if err != nil {
		return c.report(checkResult{}, errors.WithStack(err))
	}
	if reason := c.misuse(info.IsDir()); reason != "" {
		return c.usageError("%s", reason)
	}
	var result checkResult
	if info.IsDir() {
		result, err = c.checkFolder(rest[0])
	} else {
		result, err = c.checkDocument(rest[0])
	}
	return c.report(result, err)
}

// misuse returns what is wrong with the flags, or an empty text.
func (c *checker) misuse(folder bool) string {
	switch {
	case *c.against != "" && *c.store != "":
		return "-against and -platform exclude each other"
	case *c.version != 0 && (*c.store == "" || !folder):
		return "-version requires -platform and a folder"
	case *c.settings != "" && folder:
		return "-settings requires a document"
	}
	return ""
}

// checkFolder checks a folder and, if it is valid, compares it with the version that the flags name.
func (c *checker) checkFolder(dir string) (checkResult, error) {
	files, err := readFolder(dir)
	if err != nil {
		return checkResult{}, err
	}
	doc, list, err := configuration.Check(files)
	result := checkResult{Findings: list}
	if err != nil || doc == nil || *c.against == "" && *c.store == "" {
		return result, err
	}
	before, err := c.baseDocument()
	if err != nil {
		return result, err
	}
	result.Differences, err = configuration.Differences(before, doc)
	return result, err
}

// baseDocument returns the merged document of the version to compare with. It is not validated, as an
// accepted version may break rules that were added since.
func (c *checker) baseDocument() (*configuration.Document, error) {
	files, err := c.baseFolder()
	if err != nil {
		return nil, err
	}
	data, err := configuration.Merge(files)
	if err != nil {
		return nil, errors.Wrap(err, "the version to compare with")
	}
	doc, err := configuration.Decode(data)
	return doc, errors.Wrap(err, "the version to compare with")
}

// baseFolder returns the files of the version to compare with.
func (c *checker) baseFolder() ([]configuration.File, error) {
	if *c.against != "" {
		return readFolder(*c.against)
	}
	client := store.New(*c.store, platformTimeout)
	defer client.Close()
	files, err := readVersion(client, c.version)
	return files, errors.Wrap(err, "store at "+*c.store)
}

// checkDocument checks a document and compares it with the retry budget, the endpoints and the
// version in force, as far as the flags name them.
func (c *checker) checkDocument(path string) (checkResult, error) {
	var env routing.Environment
	if *c.settings != "" {
		s, err := platform.LoadSettings(*c.settings)
		if err != nil {
			return checkResult{}, err
		}
		env.MaxAttempts = s.Retries.MaxAttempts()
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return checkResult{}, errors.WithStack(err)
	}
	var storeErr error
	if *c.store != "" {
		ctx, cancel := context.WithTimeout(context.Background(), platformTimeout)
		defer cancel()
		env.Endpoints, storeErr = documents.Endpoints(ctx, *c.store)
	}
	after, valid, list := documents.Check(data, env)
	result := checkResult{Findings: list}
	if err = storeErr; err == nil && valid && (*c.against != "" || *c.store != "") {
		err = c.compareDocument(&result, after)
	}
	for i := range result.Findings {
		result.Findings[i].File = path
	}
	return result, err
}

// compareDocument adds the differences from the version in force to the result, and a finding if
// VMs would ignore the deployment because its version is not higher.
func (c *checker) compareDocument(result *checkResult, after routing.Deployment) error {
	source := *c.against
	var data []byte
	var err error
	if source != "" {
		data, err = os.ReadFile(source)
	} else {
		source = "store at " + *c.store
		ctx, cancel := context.WithTimeout(context.Background(), platformTimeout)
		defer cancel()
		data, err = documents.InForce(ctx, *c.store)
	}
	if err != nil {
		return errors.WithStack(err)
	}
	before, valid, list := documents.Check(data, routing.Environment{})
	if !valid {
		return errors.WithStack(&invalidBaseError{source, list[0]})
	}
	result.Differences, err = routing.Differences(before, after)
	if len(result.Differences) > 0 && after.Version <= before.Version {
		result.Findings = append(result.Findings, findings.Finding{
			Kind: findings.Invalid, Pointer: findings.Pointer("version"),
			Text: fmt.Sprintf("VMs ignore version %d, as version %d is in force", after.Version, before.Version),
		})
	}
	return err
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

// report prints the result and returns exitFailed if there are findings or an error.
func (c *checker) report(r checkResult, err error) int {
	switch {
	case *c.json:
		if err != nil {
			r.Error = err.Error()
		}
		if r.Findings == nil {
			r.Findings = []findings.Finding{}
		}
		c.print(r)
	case err == nil || len(r.Findings) > 0:
		r.print()
	}
	if len(r.Findings) > 0 {
		fmt.Fprintf(os.Stderr, "cornelsaddlectl check: findings: %d\n", len(r.Findings))
	}
	if err != nil && !*c.json {
		return c.fail(err)
	}
	if err != nil || len(r.Findings) > 0 {
		return exitFailed
	}
	return exitDone
}

// print writes the result as text.
func (r checkResult) print() {
	for _, f := range r.Findings {
		fmt.Printf("%s: %s\n", f.Kind, f)
	}
	if len(r.Findings) == 0 {
		fmt.Println("no findings")
	}
	for _, d := range r.Differences {
		fmt.Println(d)
	}
	if r.Differences != nil && len(r.Differences) == 0 {
		fmt.Println("no differences")
	}
}
