package configuration

import (
	"fmt"
	"slices"

	"github.com/pkg/errors"

	"cornelsaddle.example/cornelsaddle/core/findings"
)

// millisPerHour is the number of milliseconds in an hour.
const millisPerHour = 3600 * 1000

// Check validates a folder as Build does and, if it is valid, looks for entries that can
// never match and for limits that contradict each other. The document is nil if the folder
// is invalid. An error means that the check itself failed.
func Check(files []File) (*Document, []findings.Finding, error) {
	_, doc, err := Build(files)
	var invalid *InvalidError
	var file *FileError
	switch {
	case errors.As(err, &invalid):
		list := make([]findings.Finding, 0, len(invalid.Violations))
		for _, v := range invalid.Violations {
			list = append(list, findings.Finding{Kind: findings.Invalid, File: v.File, Pointer: v.Pointer, Text: v.Expected})
		}
		return nil, list, nil
	case errors.As(err, &file):
		return nil, []findings.Finding{{Kind: findings.Invalid, File: file.File, Pointer: file.Pointer, Text: file.Reason}}, nil
	case err != nil:
		return nil, nil, err
	}
	return doc, newFindingCollector(doc, newOrigins(Sorted(files))).check(), nil
}

// findingCollector collects the findings in a valid document.
type findingCollector struct {
	doc     *Document
	origins *origins
	// open maps a service to those of its endpoints that get new work.
	open     map[string][]Endpoint
	findings []findings.Finding
}

func newFindingCollector(doc *Document, origin *origins) *findingCollector {
	c := &findingCollector{doc: doc, origins: origin, open: make(map[string][]Endpoint)}
	for _, name := range sortedKeys(doc.Endpoints) {
		if e := doc.Endpoints[name]; !e.Leaving {
			c.open[e.Service] = append(c.open[e.Service], e)
		}
	}
	return c
}

func (c *findingCollector) check() []findings.Finding {
	c.organisations()
	c.services()
	c.tokenRates()
	c.prefillTimes()
	c.retention()
	findings.Sort(c.findings)
	return c.findings
}

func (c *findingCollector) add(kind findings.Kind, text string, parts ...string) {
	c.findings = append(c.findings, findings.Finding{Kind: kind, File: c.origins.file(parts), Pointer: findings.Pointer(parts...), Text: text})
}

func (c *findingCollector) organisations() {
	for _, name := range sortedKeys(c.doc.Organisations) {
		o := c.doc.Organisations[name]
		if len(o.Services) == 0 {
			c.add(findings.NeverMatches, "the organisation may use no service", partOrganisations, name, partServices)
		}
		if len(o.KeyDigests) == 0 {
			c.add(findings.NeverMatches, "the organisation has no API key", partOrganisations, name, "key_digests")
		}
	}
}

func (c *findingCollector) services() {
	used := make(map[string]bool)
	for _, o := range c.doc.Organisations {
		for _, service := range o.Services {
			used[service] = true
		}
	}
	for _, name := range sortedKeys(c.doc.Services) {
		if !used[name] {
			c.add(findings.NeverMatches, "no organisation may use the service", partServices, name)
		}
		if len(c.open[name]) == 0 {
			c.add(findings.NeverMatches, "the service has no endpoint that gets new work", partServices, name)
		}
	}
}

// prefillRate returns the sum of the prefill rates that the open endpoints of a service
// state. known is false if it isn't a model service or one of them states no rate.
func (c *findingCollector) prefillRate(service string) (rate float64, known bool) {
	open := c.open[service]
	if c.doc.Services[service].Kind != KindModel || len(open) == 0 {
		return 0, false
	}
	for _, e := range open {
		if e.PrefillRate == 0 {
			return 0, false
		}
		rate += e.PrefillRate
	}
	return rate, true
}

// prefillRates returns the sum of the rates of the model services among those named. known
// is false if the rate of one is unknown or there are none.
func (c *findingCollector) prefillRates(services []string) (rate float64, known bool) {
	for _, name := range slices.Compact(slices.Sorted(slices.Values(services))) {
		if c.doc.Services[name].Kind != KindModel {
			continue
		}
		r, ok := c.prefillRate(name)
		if !ok {
			return 0, false
		}
		rate, known = rate+r, true
	}
	return rate, known
}

// tokenRates compares the limits on tokens with each other and with what the endpoints can
// prefill.
func (c *findingCollector) tokenRates() {
	total := c.doc.Limits.TokensPerSecond
	if rate, known := c.prefillRates(sortedKeys(c.doc.Services)); known && total > rate {
		c.add(findings.Contradiction, fmt.Sprintf("the limit, %g, is over the sum of the endpoints' prefill rates, %g", total, rate), partLimits, partTokenRate)
	}
	for _, name := range sortedKeys(c.doc.Organisations) {
		o := c.doc.Organisations[name]
		if total > 0 && o.TokensPerSecond == 0 {
			c.add(findings.Contradiction, fmt.Sprintf("the organisation has no limit, though the sum of all limits is bounded by %g", total), partOrganisations, name, partTokenRate)
		}
		if rate, known := c.prefillRates(o.Services); known && o.TokensPerSecond > rate {
			c.add(findings.Contradiction, fmt.Sprintf("the limit, %g, is over the sum of the prefill rates of the endpoints that the organisation may use, %g", o.TokensPerSecond, rate), partOrganisations, name, partTokenRate)
		}
	}
}

// prefillTimes checks that the longest prompt that a single endpoint must serve can be
// prefilled within the longest timeout, at the rate of the fastest endpoint.
func (c *findingCollector) prefillTimes() {
	need := c.doc.requiredMemoryTokens()
	for _, name := range sortedKeys(c.doc.Services) {
		if _, known := c.prefillRate(name); !known {
			continue
		}
		var fastest float64
		for _, e := range c.open[name] {
			fastest = max(fastest, e.PrefillRate)
		}
		timeout := c.doc.Services[name].MaxTimeoutMs
		if took := float64(need) / fastest * 1000; took > float64(timeout) {
			c.add(findings.Contradiction, fmt.Sprintf("the longest timeout, %d ms, is under the %.0f ms that the fastest endpoint takes to prefill a prompt of %d tokens", timeout, took, need), partServices, name, partMaxTimeout)
		}
	}
}

// retention checks that the records of calls outlast the calls: a repeat of a call whose
// record is gone would run it again.
func (c *findingCollector) retention() {
	hours := c.doc.Limits.CallRetentionHours
	if hours == 0 {
		return
	}
	for _, name := range sortedKeys(c.doc.Services) {
		s := c.doc.Services[name]
		once := false
		for _, o := range s.Operations {
			once = once || !o.Idempotent
		}
		if once && s.MaxTimeoutMs >= hours*millisPerHour {
			c.add(findings.Contradiction, fmt.Sprintf("the records of calls are kept for %d h, no longer than a call of service %s may take", hours, name), partLimits, "call_retention_hours")
		}
	}
}
