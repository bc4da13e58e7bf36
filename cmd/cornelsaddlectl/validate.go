package main

import (
	"cornelsaddle.example/cornelsaddle/core/configuration"
	"cornelsaddle.example/cornelsaddle/internal/confapply"
)

// folderSummary is the output of validate: the number of files and objects in a
// folder.
type folderSummary struct {
	Files         int `json:"files"`
	Organisations int `json:"organisations"`
	Services      int `json:"services"`
	Endpoints     int `json:"endpoints"`
}

// validate checks a configuration folder without applying it.
func validate(args []string) int {
	c := newInvocation("validate", "validate [-json] DIR")
	rest, code := c.parse(args, 1)
	if code >= 0 {
		return code
	}
	files, err := confapply.ReadFolder(rest[0])
	if err != nil {
		return c.fail(err)
	}
	_, doc, err := configuration.Build(files)
	if err != nil {
		return c.fail(err)
	}
	s := folderSummary{len(files), len(doc.Organisations), len(doc.Services), len(doc.Endpoints)}
	return c.done(s, "valid: %d files, %d organisations, %d services, %d endpoints", s.Files, s.Organisations, s.Services, s.Endpoints)
}
