package routing

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cornelsaddle.example/cornelsaddle/core/engine"
	"cornelsaddle.example/cornelsaddle/core/findings"
)

func soundDeployment() Deployment {
	return Deployment{
		Routes: []Route{
			{Name: "wide", Host: "h.example", Prefix: "/", Timeout: time.Second, Goal: time.Second, MaxAttempts: 3, Shares: []Share{{"s", 1}, {"p", 2}}},
			{Name: "narrow", Host: "H.example", Prefix: "/a/", MaxAttempts: 1, Goal: time.Hour, Shares: []Share{{"s", 1}}},
		},
		Services:      []Service{{Name: "s"}, {Name: "p"}},
		Organisations: []Organisation{{Name: "o", Keys: []string{"k1"}}, {Name: "q", Keys: []string{"k2"}}},
	}
}

// TestCheck guards against a rule that reports nothing, the wrong place, or more than its own
// finding.
func TestCheck(t *testing.T) {
	env := Environment{MaxAttempts: 3, Endpoints: map[string]int{"s": 1, "p": 2}}
	require.Empty(t, Check(soundDeployment(), env))
	const none = NoIndex
	for name, tc := range map[string]struct {
		change func(d *Deployment)
		kind   findings.Kind
		place  Place
		text   string
	}{
		"no routes": {func(d *Deployment) { *d = Deployment{} }, findings.Invalid, Place{PartRoutes, none, FieldNone, none}, "no routes"},
		"a name twice": {func(d *Deployment) { d.Routes[1].Name = "wide" },
			findings.Invalid, Place{PartRoutes, 1, FieldName, none}, "wide"},
		"a route behind another": {func(d *Deployment) { d.Routes[1].Prefix = "/" },
			findings.NeverMatches, Place{PartRoutes, 1, FieldPrefix, none}, `route "wide" gets all`},
		"an empty prefix behind a slash": {func(d *Deployment) { d.Routes[1].Prefix = "" },
			findings.NeverMatches, Place{PartRoutes, 1, FieldPrefix, none}, `route "wide" gets all`},
		"a relative prefix": {func(d *Deployment) { d.Routes[1].Prefix = "a/" },
			findings.NeverMatches, Place{PartRoutes, 1, FieldPrefix, none}, "slash"},
		"a route without service": {func(d *Deployment) { d.Routes[1].Shares = nil },
			findings.Invalid, Place{PartRoutes, 1, FieldNone, none}, "no service"},
		"an unknown service": {func(d *Deployment) { d.Routes[1].Shares[0].Service = "x" },
			findings.Invalid, Place{PartRoutes, 1, FieldShares, 0}, `"x"`},
		"a negative weight": {func(d *Deployment) { d.Routes[0].Shares[1].Weight = -1 },
			findings.Invalid, Place{PartRoutes, 0, FieldShareWeight, 1}, "negative"},
		"no weight": {func(d *Deployment) { d.Routes[0].Shares[1].Weight = 0 },
			findings.NeverMatches, Place{PartRoutes, 0, FieldShareWeight, 1}, "weight is 0"},
		"no weights": {func(d *Deployment) { d.Routes[1].Shares[0].Weight = 0 },
			findings.Invalid, Place{PartRoutes, 1, FieldShares, none}, "sum"},
		"a negative time for bodies": {func(d *Deployment) { d.Limits.BodyGrace = -1 },
			findings.Invalid, Place{PartLimits, none, FieldBodyGrace, none}, "negative"},
		"a negative rate of bodies": {func(d *Deployment) { d.Limits.BodyRate = -1 },
			findings.Invalid, Place{PartLimits, none, FieldBodyRate, none}, "negative"},
		"a rate at which bodies take days": {func(d *Deployment) { d.Limits.MaxBodyBytes, d.Limits.BodyRate = 1<<20, 1 },
			findings.Contradiction, Place{PartLimits, none, FieldBodyRate, none}, "291h"},
		"a negative goal": {func(d *Deployment) { d.Routes[1].Goal = -1 },
			findings.Invalid, Place{PartRoutes, 1, FieldGoal, none}, "negative"},
		"a timeout under the goal": {func(d *Deployment) { d.Routes[0].Timeout-- },
			findings.Contradiction, Place{PartRoutes, 0, FieldTimeout, none}, "1s"},
		"a gap over the timeout": {func(d *Deployment) { d.Routes[0].Gap = time.Minute },
			findings.Contradiction, Place{PartRoutes, 0, FieldGap, none}, "1m0s"},
		"attempts over the budget": {func(d *Deployment) { d.Routes[0].MaxAttempts = 4 },
			findings.Contradiction, Place{PartRoutes, 0, FieldMaxAttempts, none}, "3 endpoints"},
		"a service without routes": {func(d *Deployment) { d.Services = append(d.Services, Service{Name: "x"}) },
			findings.NeverMatches, Place{PartServices, 2, FieldNone, none}, "no route"},
		"a service twice": {func(d *Deployment) { d.Services = append(d.Services, Service{Name: "s"}) },
			findings.NeverMatches, Place{PartServices, 0, FieldName, none}, "replaces"},
		"an unusable engine": {func(d *Deployment) { d.Services[1].Engine = &engine.CostModel{} },
			findings.Invalid, Place{PartServices, 1, FieldEngine, none}, "plain"},
		"cold without a limit": {func(d *Deployment) { d.Services[1].ColdFor = time.Second },
			findings.Contradiction, Place{PartServices, 1, FieldColdFor, none}, "without a limit"},
		"an organisation without keys": {func(d *Deployment) { d.Organisations[1].Keys = nil },
			findings.NeverMatches, Place{PartOrganisations, 1, FieldKeys, none}, "no API key"},
		"a key twice": {func(d *Deployment) { d.Organisations[0].Keys = []string{"k1", "k2"} },
			findings.NeverMatches, Place{PartOrganisations, 0, FieldKeys, 1}, `"q"`},
		"an empty key": {func(d *Deployment) { d.Organisations[0].Keys[0] = "" },
			findings.Invalid, Place{PartOrganisations, 0, FieldKeys, 0}, "empty"},
	} {
		t.Run(name, func(t *testing.T) {
			d := soundDeployment()
			tc.change(&d)
			list := Check(d, env)
			require.Len(t, list, 1, "%v", list)
			require.Equal(t, tc.kind, list[0].Kind)
			require.Equal(t, tc.place, list[0].Place)
			require.Contains(t, list[0].Text, tc.text)
		})
	}
}

// TestCheckOfEndpoints guards against a service without endpoints that isn't found, and against
// findings where the endpoints are unknown.
func TestCheckOfEndpoints(t *testing.T) {
	list := Check(soundDeployment(), Environment{Endpoints: map[string]int{"s": 1}})
	require.Len(t, list, 1)
	require.Equal(t, findings.NeverMatches, list[0].Kind)
	require.Equal(t, Place{PartServices, 1, FieldNone, NoIndex}, list[0].Place)
	require.Empty(t, Check(soundDeployment(), Environment{}))
}

// TestCheckOfHosts guards against findings for hosts that requests do select, and against none
// for a host with a port, which is cut off before the comparison.
func TestCheckOfHosts(t *testing.T) {
	d := soundDeployment()
	d.Routes[1].Host = "[::1]"
	require.Empty(t, Check(d, Environment{}))
	d.Routes[1].Host = "h.example:8080"
	list := Check(d, Environment{})
	require.Len(t, list, 1)
	require.Equal(t, Place{PartRoutes, 1, FieldPrefix, NoIndex}, list[0].Place)
}
