package ratelimit

import (
	"errors"
	"strconv"
	"strings"
)

const (
	// maxPerSecond is the largest rate that is taken from a response.
	maxPerSecond = 1e9
	// maxUnreadableBytes bounds the text of an unreadable limit that is kept for the log.
	maxUnreadableBytes = 64
)

// Limit is what an endpoint's response says of the requests that the endpoint takes from
// all VMs together.
type Limit struct {
	// Stated is true if the response names a limit.
	Stated bool
	// PerSecond is the limit in requests per second, zero or more.
	PerSecond float64
}

// Text returns the limit as it is logged; empty for none.
func (l Limit) Text() string {
	if !l.Stated {
		return ""
	}
	return strconv.FormatFloat(l.PerSecond, 'g', -1, 64)
}

// Parse parses the values of a header with a limit in requests per second, which may have a
// fraction. Of several it returns the lowest one that can be read, and the begin of the
// text if there is none.
func Parse(values []string) (limit Limit, unreadable string) {
	text := strings.Join(values, ",")
	if len(values) == 0 {
		return Limit{}, ""
	}
	for _, entry := range strings.Split(text, ",") {
		n, err := strconv.ParseFloat(strings.TrimSpace(entry), 64)
		if err != nil && !errors.Is(err, strconv.ErrRange) || !(n >= 0) {
			continue
		}
		if !limit.Stated || n < limit.PerSecond {
			limit = Limit{Stated: true, PerSecond: min(n, maxPerSecond)}
		}
	}
	if !limit.Stated {
		return limit, strconv.Quote(text[:min(len(text), maxUnreadableBytes)])
	}
	return limit, ""
}
