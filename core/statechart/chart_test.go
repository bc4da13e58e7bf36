package statechart

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// door is a small valid chart.
const door = `{
  "name": "door",
  "doc": "A door with a lock.",
  "initial": "open",
  "events": ["close", "lock", "remove"],
  "guards": ["has_key"],
  "actions": ["creak", "click"],
  "states": {
    "open": {"ignore": ["lock"], "on": {
      "close": [{"to": "closed", "do": ["creak"]}],
      "remove": [{"to": "gone"}]}},
    "closed": {"ignore": ["close"], "on": {
      "lock": [{"guard": "has_key", "to": "locked", "do": ["click", "creak"]}, {"do": ["creak"]}],
      "remove": [{"to": "gone"}]}},
    "locked": {"ignore": ["close", "lock", "remove"]},
    "gone": {"final": true}
  }
}`

func TestParseRejectsInvalidCharts(t *testing.T) {
	_, err := Parse("door", []byte(door))
	require.NoError(t, err)
	for name, c := range map[string]struct{ from, to, reason string }{
		"broken JSON":         {`"name"`, `name`, "invalid character"},
		"unknown field":       {`"doc"`, `"colour"`, "unknown field"},
		"another name":        {`"name": "door"`, `"name": "gate"`, `is named "gate"`},
		"no initial state":    {`"initial": "open"`, `"initial": "ajar"`, `initial state "ajar" does not exist`},
		"unknown action":      {`["click", "creak"]}`, `["knock"]}`, `undeclared action "knock"`},
		"unknown guard":       {`"guard": "has_key"`, `"guard": "strong"`, `undeclared guard "strong"`},
		"unknown event":       {`"close": [{`, `"slam": [{`, `undeclared event "slam"`},
		"unknown state":       {`"to": "locked"`, `"to": "barred"`, `unknown state "barred"`},
		"unreachable state":   {`"gone": {"final"`, `"attic": {"final": true}, "gone": {"final"`, `state "attic" cannot be reached`},
		"unhandled event":     {`"open": {"ignore": ["lock"]`, `"open": {"ignore": []`, `state "open" does not handle event "lock"`},
		"ignored unknown":     {`"ignore": ["close"]`, `"ignore": ["close", "slam"]`, `ignores undeclared event "slam"`},
		"handled and ignored": {`"open": {"ignore": ["lock"]`, `"open": {"ignore": ["lock", "close"]`, `both handles and ignores event "close"`},
		"no edge": {`"remove": [{"to": "gone"}]}},
    "closed"`, `"remove": []}},
    "closed"`, `no edge for event "remove"`},
		"no unguarded edge":     {`, {"do": ["creak"]}]`, `]`, `no unguarded edge for event "lock"`},
		"edge never taken":      {`"to": "closed", "do": ["creak"]}`, `"to": "closed"}, {"do": ["creak"]}`, `can never be taken`},
		"final with edges":      {`"final": true`, `"final": true, "on": {"close": [{}]}`, `final state "gone" has edges`},
		"unused action":         {`["creak", "click"]`, `["creak", "click", "knock"]`, `action "knock" is declared twice or used nowhere`},
		"unused guard":          {`["has_key"]`, `["has_key", "strong"]`, `guard "strong" is declared twice or used nowhere`},
		"action declared twice": {`["creak", "click"]`, `["creak", "click", "creak"]`, `action "creak" is declared twice`},
	} {
		t.Run(name, func(t *testing.T) {
			require.Contains(t, door, c.from)
			_, err := Parse("door", []byte(strings.Replace(door, c.from, c.to, 1)))
			var chartErr *ChartError
			require.ErrorAs(t, err, &chartErr)
			require.Contains(t, chartErr.Error(), c.reason)
		})
	}
}

func TestEmbeddedChartsAreValid(t *testing.T) {
	require.NotEmpty(t, Names())
	for _, name := range Names() {
		c, err := Load(name)
		require.NoError(t, err)
		require.NotEmpty(t, c.Doc, name)
	}
	_, err := Load("no-such-chart")
	var chartErr *ChartError
	require.ErrorAs(t, err, &chartErr)
	require.Panics(t, func() { MustLoad("no-such-chart") })
}
