package configuration

import (
	"fmt"
	"maps"
	"net/netip"
	"slices"
	"strconv"

	"cornelsaddle.example/cornelsaddle/core/findings"
)

// Field names in JSON pointers.
const (
	partOrganisations = "organisations"
	partServices      = "services"
	partEndpoints     = "endpoints"
	partClasses       = "length_classes"
	partLimits        = "limits"
	partMaxTokens     = "max_tokens"
	partMaxTimeout    = "max_timeout_ms"
	partTokenRate     = "tokens_per_second"
)

// checker collects the violations in a document.
type checker struct {
	doc        *Document
	origins    *origins
	violations []Violation
}

// checkReferences checks the rules that the JSON schema cannot express, such as
// references between parts of the document, uniqueness and sums.
func checkReferences(doc *Document, origin *origins) []Violation {
	c := &checker{doc: doc, origins: origin}
	c.organisations()
	c.keys()
	c.rateLimits()
	c.endpoints()
	c.services()
	c.classes()
	sortViolations(c.violations)
	return c.violations
}

func (c *checker) add(expected string, parts ...string) {
	c.violations = append(c.violations, Violation{c.origins.file(parts), findings.Pointer(parts...), expected})
}

func (c *checker) organisations() {
	for _, name := range sortedKeys(c.doc.Organisations) {
		for i, service := range c.doc.Organisations[name].Services {
			if _, ok := c.doc.Services[service]; !ok {
				c.add(fmt.Sprintf("expected the name of a service, got %q", service), partOrganisations, name, partServices, strconv.Itoa(i))
			}
		}
	}
}

// keys checks that no API key is listed twice, under one organisation or two.
func (c *checker) keys() {
	owner := make(map[string]string)
	for _, name := range sortedKeys(c.doc.Organisations) {
		for i, digest := range c.doc.Organisations[name].KeyDigests {
			if first, ok := owner[digest]; ok {
				c.add("expected a key of its own, got one that is also listed for "+first, partOrganisations, name, "key_digests", strconv.Itoa(i))
				continue
			}
			owner[digest] = name
		}
	}
}

// rateLimits checks that the sum of the organisations' token limits does not
// exceed the total limit.
func (c *checker) rateLimits() {
	total := c.doc.Limits.TokensPerSecond
	if total == 0 {
		return
	}
	var sum float64
	for _, name := range sortedKeys(c.doc.Organisations) {
		sum += c.doc.Organisations[name].TokensPerSecond
	}
	if sum > total {
		c.add(fmt.Sprintf("expected at least the sum of the organisations' limits, %g, got %g", sum, total), partLimits, partTokenRate)
	}
}

func (c *checker) endpoints() {
	owner := make(map[string]string)
	for _, name := range sortedKeys(c.doc.Endpoints) {
		e := c.doc.Endpoints[name]
		if _, ok := c.doc.Services[e.Service]; !ok {
			c.add(fmt.Sprintf("expected the name of a service, got %q", e.Service), partEndpoints, name, "service")
		}
		if _, err := netip.ParseAddrPort(e.Address); err != nil {
			c.add(fmt.Sprintf("expected an IPv4 address and port, got %q", e.Address), partEndpoints, name, "address")
		}
		if first, ok := owner[e.Address]; ok {
			c.add(fmt.Sprintf("expected an address of its own, got the address of %s", first), partEndpoints, name, "address")
			continue
		}
		owner[e.Address] = name
	}
}

func (c *checker) services() {
	for _, name := range sortedKeys(c.doc.Services) {
		s := c.doc.Services[name]
		if s.Kind == KindPlain {
			c.plainService(name, s)
			continue
		}
		if len(s.Operations) > 0 {
			c.add("expected no operations for a model service", partServices, name, "operations")
		}
		c.capacity(name)
	}
}

func (c *checker) plainService(name string, s Service) {
	if s.Deploy != nil {
		c.add("expected no deployment for a plain service", partServices, name, "deploy")
	}
	if len(s.Operations) == 0 {
		c.add("expected at least one operation for a plain service", partServices, name, "operations")
	}
}

// capacity checks that the service has an endpoint with enough KV memory for the
// longest prompt that cannot be spread over several endpoints.
func (c *checker) capacity(service string) {
	need := c.doc.requiredMemoryTokens()
	var most int64
	count := 0
	for _, e := range c.doc.Endpoints {
		if e.Service != service {
			continue
		}
		count++
		if e.MemoryTokens == 0 {
			// The capacity is not configured; it comes from the endpoint's own
			// report, so assume that it is sufficient.
			most = max(most, need)
		}
		most = max(most, e.MemoryTokens)
	}
	switch {
	case count == 0:
		c.add("expected at least one endpoint for the model service, got none", partServices, service)
	case most < need:
		c.add(fmt.Sprintf("expected an endpoint that holds %d tokens, the largest holds %d", need, most), partServices, service)
	}
}

// requiredMemoryTokens returns the length in tokens of the longest prompt in the
// classes of the higher priority, which a single endpoint must hold.
func (d *Document) requiredMemoryTokens() int64 {
	classes := d.LengthClasses
	if len(classes) == 0 {
		classes = DefaultLengthClasses()
	}
	var need int64
	for _, class := range classes {
		if !class.LowPriority {
			need = max(need, class.MaxTokens)
		}
	}
	return need
}

func (c *checker) classes() {
	seen := make(map[string]bool)
	var last int64
	for i, class := range c.doc.LengthClasses {
		at := strconv.Itoa(i)
		if seen[class.Name] {
			c.add("expected a unique name", partClasses, at, "name")
		}
		seen[class.Name] = true
		final := i == len(c.doc.LengthClasses)-1
		switch {
		case class.MaxTokens == 0 && !final:
			c.add("expected a bound; only the last class may be unbounded", partClasses, at, partMaxTokens)
		case class.MaxTokens != 0 && final:
			c.add("expected no bound for the last class", partClasses, at, partMaxTokens)
		case class.MaxTokens != 0 && class.MaxTokens <= last:
			c.add(fmt.Sprintf("expected more than the bound of the previous class, %d, got %d", last, class.MaxTokens), partClasses, at, partMaxTokens)
		}
		last = class.MaxTokens
	}
}

func sortedKeys[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }
