package configuration

import (
	"maps"
	"slices"

	"cornelsaddle.example/cornelsaddle/core/findings"
)

// Differences returns the values in which two documents differ in their meaning. The order of
// sets, and whether zeros and the defaults that this package defines are written, make no
// difference.
func Differences(before, after *Document) ([]findings.Difference, error) {
	return findings.Compare(before.normalised(), after.normalised())
}

// normalised returns a copy of the document in which equal meanings have equal values.
func (d *Document) normalised() Document {
	n := *d
	if len(n.LengthClasses) == 0 {
		n.LengthClasses = DefaultLengthClasses()
	}
	n.Organisations = maps.Clone(n.Organisations)
	for name, o := range n.Organisations {
		o.KeyDigests, o.Services = sortedSet(o.KeyDigests), sortedSet(o.Services)
		n.Organisations[name] = o
	}
	n.Services = maps.Clone(n.Services)
	for name, s := range n.Services {
		if s.Kind == KindModel && s.BytesPerToken == 0 {
			s.BytesPerToken = DefaultBytesPerToken
		}
		if s.Deploy != nil {
			deploy := *s.Deploy
			deploy.Adapters = sortedSet(deploy.Adapters)
			s.Deploy = &deploy
		}
		n.Services[name] = s
	}
	return n
}

// sortedSet returns the elements in order and without repetitions. It is never nil, so that an empty
// list and a missing one are equal.
func sortedSet(list []string) []string {
	return slices.Compact(append([]string{}, slices.Sorted(slices.Values(list))...))
}
