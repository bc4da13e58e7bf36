package loadgen

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func testMix() Mix {
	return Mix{
		Name:          "test",
		Seed:          7,
		DurationMs:    2_000,
		MaxRequests:   10_000,
		Organisations: []Organisation{{"large", "large-key", 3}, {"small", "small-key", 1}},
		Prompts: []Prompts{
			{Class: "short", Model: "m", MinTokens: 10, MaxTokens: 100, RatePerSecond: 500, SharedPrefix: 0.5, PrefixGroups: 2},
			{Class: "long", Model: "m", MinTokens: 1_000, MaxTokens: 2_000, RatePerSecond: 50},
		},
		Calls: []Calls{{Service: "s", Operation: "book", RatePerSecond: 100, Keyed: true, Repeat: 0.5}},
	}
}

func TestPlanIsDeterministic(t *testing.T) {
	m := testMix()
	require.Equal(t, plan(&m), plan(&m))
	other := testMix()
	other.Seed = 8
	require.NotEqual(t, plan(&m), plan(&other))
}

func TestPlanRespectsTheBoundsOfTheMix(t *testing.T) {
	m := testMix()
	items := plan(&m)
	perOrganisation := make(map[string]float64)
	last := time.Duration(0)
	for _, it := range items {
		require.GreaterOrEqual(t, it.sendAt, last)
		require.Less(t, it.sendAt, 2*time.Second)
		last = it.sendAt
		perOrganisation[it.organisation.Name]++
		if it.prompts != nil {
			require.GreaterOrEqual(t, it.tokens, it.prompts.MinTokens)
			require.LessOrEqual(t, it.tokens, it.prompts.MaxTokens)
			require.Len(t, it.text(), int(it.tokens)*bytesPerToken)
		}
	}
	// 650 requests per second for two seconds, within five standard deviations.
	require.InDelta(t, 1300, len(items), 5*math.Sqrt(1300))
	require.InDelta(t, 3, perOrganisation["large"]/perOrganisation["small"], 1)
	m.MaxRequests = 100
	require.Len(t, plan(&m), 100)
}

func TestOnlyClassesKeepsTheRequestsOfAClass(t *testing.T) {
	m := testMix()
	only := m.OnlyClasses("short")
	var want []plannedRequest
	for _, it := range plan(&m) {
		if it.class() == "short" {
			want = append(want, it)
		}
	}
	require.Equal(t, want, plan(&only))
}

func TestTextSeedChangesOnlyTextsAndKeys(t *testing.T) {
	m := testMix()
	other := testMix()
	other.TextSeed = 1
	a, b := plan(&m), plan(&other)
	require.Equal(t, len(a), len(b))
	for i := range a {
		require.Equal(t, a[i].sendAt, b[i].sendAt)
		require.Equal(t, a[i].tokens, b[i].tokens)
		if a[i].prompts == nil {
			require.NotEqual(t, a[i].idempotencyKey(), b[i].idempotencyKey())
			continue
		}
		require.NotEqual(t, a[i].text(), b[i].text())
		require.NotEqual(t, a[i].text()[:bytesPerToken*4], b[i].text()[:bytesPerToken*4])
	}
}

func TestTextsOfAGroupShareAPrefix(t *testing.T) {
	p := &Prompts{Class: "short", SharedPrefix: 0.5}
	a := plannedRequest{prompts: p, tokens: 100, seed: 1, prefixGroup: 1}
	b := plannedRequest{prompts: p, tokens: 100, seed: 2, prefixGroup: 1}
	c := plannedRequest{prompts: p, tokens: 100, seed: 1, prefixGroup: 2}
	const half = 50 * bytesPerToken
	require.Equal(t, a.text()[:half], b.text()[:half])
	require.NotEqual(t, a.text()[half:], b.text()[half:])
	require.NotEqual(t, a.text()[:half], c.text()[:half])
}

func TestParseMixReportsTheInvalidField(t *testing.T) {
	for name, c := range map[string]struct{ data, pointer string }{
		"unknown field":   {`{"colour":1}`, "/"},
		"no duration":     {`{"max_requests":1}`, "/duration_ms"},
		"no max requests": {`{"duration_ms":1}`, "/max_requests"},
		"no organisation": {`{"duration_ms":1,"max_requests":1}`, "/organisations"},
		"no key":          {`{"duration_ms":1,"max_requests":1,"organisations":[{"name":"a","weight":1}]}`, "/organisations/0"},
		"no model":        {`{"duration_ms":1,"max_requests":1,"organisations":[{"name":"a","key":"k","weight":1}],"prompts":[{}]}`, "/prompts/0"},
		"repeat unkeyed":  {`{"duration_ms":1,"max_requests":1,"organisations":[{"name":"a","key":"k","weight":1}],"calls":[{"service":"s","operation":"o","rate_per_second":1,"repeat":1}]}`, "/calls/0"},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := ParseMix([]byte(c.data))
			var mixErr *MixError
			require.ErrorAs(t, err, &mixErr)
			require.Equal(t, c.pointer, mixErr.Pointer)
		})
	}
}
