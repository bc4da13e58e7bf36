// Package docpages generates the pages below docs that are derived from the code:
// the event catalogue, the error table, the settings, the configuration and the
// state charts.
package docpages

import (
	"fmt"
	"os"
	"path/filepath"

	"github.com/pkg/errors"

	"cornelsaddle.example/cornelsaddle/core/configuration"
	"cornelsaddle.example/cornelsaddle/core/errcode"
	"cornelsaddle.example/cornelsaddle/core/statechart"
	"cornelsaddle.example/cornelsaddle/internal/event"
	"cornelsaddle.example/cornelsaddle/internal/gateway"
	"cornelsaddle.example/cornelsaddle/internal/settings"
)

const (
	pageMode      = 0o644
	directoryMode = 0o755
)

// Page is one generated Markdown page.
type Page struct {
	// Path is the slash-separated path relative to the docs directory.
	Path string
	Text string
}

// Pages returns all generated pages.
func Pages() ([]Page, error) {
	pages := []Page{
		{"EVENTS.md", event.Document()},
		{"ERRORS.md", errcode.Document() + gateway.FailuresDocument()},
		{"operations/settings.md", settings.Document()},
		{"operations/configuration.md", configuration.FieldReference()},
	}
	for _, name := range statechart.Names() {
		c, err := statechart.Load(name)
		if err != nil {
			return nil, err
		}
		pages = append(pages, Page{"charts/" + name + ".md", chartPage(c)})
	}
	return pages, nil
}

func chartPage(c *statechart.Chart) string {
	return fmt.Sprintf("# State chart: %s\n\n%s\n\nEdges are labelled event [guard] / actions. Drawn by "+
		"`cornelsaddlectl chart %s`.\n\n```mermaid\n%s```\n", c.Name, c.Doc, c.Name, statechart.Mermaid(c))
}

// Write writes all pages to the directory dir and creates missing
// subdirectories.
func Write(dir string) error {
	pages, err := Pages()
	if err != nil {
		return err
	}
	for _, p := range pages {
		file := filepath.Join(dir, filepath.FromSlash(p.Path))
		if err := os.MkdirAll(filepath.Dir(file), directoryMode); err != nil {
			return errors.WithStack(err)
		}
		if err := os.WriteFile(file, []byte(p.Text), pageMode); err != nil {
			return errors.WithStack(err)
		}
	}
	return nil
}
