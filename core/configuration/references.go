package configuration

import (
	"fmt"
	"maps"
	"net/netip"
	"slices"
	"strconv"
)

// The names of the document's parts in JSON pointers.
const (
	partOrganisations = "organisations"
	partServices      = "services"
	partEndpoints     = "endpoints"
	partClasses       = "length_classes"
	partLimits        = "limits"
	partMaxTokens     = "max_tokens"
)

// checker collects what the document breaks.
type checker struct {
	doc   *Document
	found *origins
	list  []Violation
}

// checkReferences checks what a schema cannot: references between parts, and
// sums.
func checkReferences(doc *Document, found *origins) []Violation {
	c := &checker{doc: doc, found: found}
	c.organisations()
	c.keys()
	c.shares()
	c.endpoints()
	c.services()
	c.classes()
	sortViolations(c.list)
	return c.list
}

func (c *checker) add(expected string, parts ...string) {
	c.list = append(c.list, Violation{c.found.file(parts), pointer(parts...), expected})
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

// keys checks that no key belongs to two organisations.
func (c *checker) keys() {
	owner := make(map[string]string)
	for _, name := range sortedKeys(c.doc.Organisations) {
		for i, digest := range c.doc.Organisations[name].KeyDigests {
			if first, ok := owner[digest]; ok {
				c.add("expected a key of its own, got that of "+first, partOrganisations, name, "key_digests", strconv.Itoa(i))
				continue
			}
			owner[digest] = name
		}
	}
}

// shares checks that the organisations' limits fit under the total.
func (c *checker) shares() {
	total := c.doc.Limits.TokensPerSecond
	if total == 0 {
		return
	}
	var sum float64
	for _, name := range sortedKeys(c.doc.Organisations) {
		sum += c.doc.Organisations[name].TokensPerSecond
	}
	if sum > total {
		c.add(fmt.Sprintf("expected at least the sum of the organisations' limits, %g, got %g", sum, total), partLimits, "tokens_per_second")
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
			c.add(fmt.Sprintf("expected an address of its own, got that of %s", first), partEndpoints, name, "address")
			continue
		}
		owner[e.Address] = name
	}
}

func (c *checker) services() {
	for _, name := range sortedKeys(c.doc.Services) {
		s := c.doc.Services[name]
		if s.Kind == KindPlain {
			c.plain(name, s)
			continue
		}
		if len(s.Operations) > 0 {
			c.add("expected no operations of a model service", partServices, name, "operations")
		}
		c.holds(name)
	}
}

func (c *checker) plain(name string, s Service) {
	if s.Deploy != nil {
		c.add("expected nothing to deploy at a plain service", partServices, name, "deploy")
	}
	if len(s.Operations) == 0 {
		c.add("expected the operations of a plain service", partServices, name, "operations")
	}
}

// holds checks that some endpoint of the model can hold a prompt of every class
// that is not spread over several endpoints.
func (c *checker) holds(service string) {
	need := c.doc.wholeTokens()
	var most int64
	count := 0
	for _, e := range c.doc.Endpoints {
		if e.Service != service {
			continue
		}
		count++
		if e.MemoryTokens == 0 {
			// The endpoint's own report will say.
			most = max(most, need)
		}
		most = max(most, e.MemoryTokens)
	}
	switch {
	case count == 0:
		c.add("expected an endpoint that serves the model, got none", partServices, service)
	case most < need:
		c.add(fmt.Sprintf("expected an endpoint that holds %d tokens, got %d at most", need, most), partServices, service)
	}
}

// wholeTokens is the longest prompt of the classes of the higher priority,
// which one endpoint must hold.
func (d *Document) wholeTokens() int64 {
	classes := d.LengthClasses
	if len(classes) == 0 {
		classes = DefaultLengthClasses()
	}
	var need int64
	for _, class := range classes {
		if !class.Low {
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
			c.add("expected a name of its own", partClasses, at, "name")
		}
		seen[class.Name] = true
		final := i == len(c.doc.LengthClasses)-1
		switch {
		case class.MaxTokens == 0 && !final:
			c.add("expected a bound; only the last class has none", partClasses, at, partMaxTokens)
		case class.MaxTokens != 0 && final:
			c.add("expected no bound of the last class", partClasses, at, partMaxTokens)
		case class.MaxTokens != 0 && class.MaxTokens <= last:
			c.add(fmt.Sprintf("expected more than the class before, %d, got %d", last, class.MaxTokens), partClasses, at, partMaxTokens)
		}
		last = class.MaxTokens
	}
}

func sortedKeys[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }
