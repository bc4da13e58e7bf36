package workcost

import "math/bits"

// Kind identifies requests that are expected to cost the same.
type Kind struct {
	Service      string
	Route        string
	Method       string
	Organisation string
	// Size is the power-of-two band of the size of the request's body, as SizeBand returns it.
	Size uint8
}

// SizeBand returns the number of bits of a body size in bytes; 0 for an empty body.
func SizeBand(bytes int) uint8 { return uint8(bits.Len(uint(max(0, bytes)))) }

// otherMethod stands for all methods that HTTP does not define: callers choose them freely, and
// each would be a kind of its own.
const otherMethod = "OTHER"

// MethodClass returns the method as it occurs in a Kind.
func MethodClass(method string) string {
	switch method {
	case "GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS", "":
		return method
	}
	return otherMethod
}

// levels is the number of levels of the hierarchy of kinds, from the full kind at level 0 to
// the service.
const levels = 5

// key is a kind at a level of the hierarchy; the fields that the level leaves out are zero.
type key struct {
	Kind
	level uint8
}

// widen returns the key of the next wider kind.
func (k key) widen() key {
	k.level++
	switch k.level {
	case 1:
		k.Organisation = ""
	case 2:
		k.Size = 0
	case 3:
		k.Method = ""
	case 4:
		k.Route = ""
	}
	return k
}

// valid reports whether the level leaves out the fields that are zero.
func (k key) valid() bool {
	wide := key{Kind: k.Kind}
	for wide.level < k.level && wide.level < levels-1 {
		wide = wide.widen()
	}
	return wide == k
}
