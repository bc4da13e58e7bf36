package main

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"github.com/pkg/errors"

	"cornelsaddle.example/cornelsaddle/internal/loadgen"
	"cornelsaddle.example/cornelsaddle/internal/report"
)

// reportResult is the JSON output of report -json.
type reportResult struct {
	File string   `json:"file"`
	Runs []string `json:"runs"`
}

// runReport writes result files as an HTML page.
func runReport(args []string) int {
	flags := flagSet("report", "-out FILE.html [LABEL=]RESULT.json...")
	out := flags.String("out", "", "HTML file to write")
	asJSON := flags.Bool("json", false, "print JSON")
	if code, ok := parse(flags, args); !ok {
		return code
	}
	if *out == "" || flags.NArg() == 0 {
		return usageError(flags, "-out and at least one result file are required")
	}
	runs, err := readRuns(flags.Args())
	if err != nil {
		return fail(flags, err)
	}
	var page bytes.Buffer
	if err := report.Write(&page, runs); err != nil {
		return fail(flags, err)
	}
	if err := os.WriteFile(*out, page.Bytes(), resultMode); err != nil {
		return fail(flags, err)
	}
	if err := printReportResult(*out, runs, *asJSON); err != nil {
		return fail(flags, err)
	}
	return exitDone
}

// readRuns reads the result files, given as [LABEL=]FILE. The default label is the
// base name of the file without its extension.
func readRuns(args []string) ([]report.Run, error) {
	runs := make([]report.Run, 0, len(args))
	for _, arg := range args {
		label, file, ok := strings.Cut(arg, "=")
		if !ok {
			file = arg
			label = strings.TrimSuffix(filepath.Base(file), filepath.Ext(file))
		}
		r, err := loadgen.ReadResult(file)
		if err != nil {
			return nil, errors.Wrap(err, file)
		}
		runs = append(runs, report.Run{Label: label, Result: r})
	}
	return runs, nil
}

func printReportResult(file string, runs []report.Run, asJSON bool) error {
	if !asJSON {
		fmt.Println("wrote", file)
		return nil
	}
	w := reportResult{File: file}
	for _, r := range runs {
		w.Runs = append(w.Runs, r.Label)
	}
	return printJSON(w)
}
