package api

import (
	"testing"

	"github.com/stretchr/testify/require"

	"cornelsaddle.example/cornelsaddle/core/configuration"
)

func TestModelListIsPerOrganisation(t *testing.T) {
	doc := &configuration.Document{
		Organisations: map[string]configuration.Organisation{
			"framers": {Services: []string{"scribe-pool", "ledger-desk", "atlas-pool", "scribe-pool", "no-longer-there"}},
			"yards":   {},
		},
		Services: map[string]configuration.Service{
			"scribe-pool": {Kind: configuration.KindModel},
			"atlas-pool":  {Kind: configuration.KindModel},
			"closed-pool": {Kind: configuration.KindModel},
			"ledger-desk": {Kind: configuration.KindPlain},
		},
	}
	require.Equal(t, modelList{"list", []model{
		{"atlas-pool", "model", modelOwner},
		{"scribe-pool", "model", modelOwner},
	}}, allowedModels(doc, "framers"))
	require.Equal(t, modelList{"list", []model{}}, allowedModels(doc, "yards"))
}
