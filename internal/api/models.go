package api

import (
	"encoding/json"
	"slices"

	"github.com/valyala/fasthttp"

	"cornelsaddle.example/cornelsaddle/core/configuration"
)

// pathModels lists models, as OpenAI-compatible clients ask for.
const pathModels = "/v1/models"

// modelOwner is what the listing names as the owner of every model.
const modelOwner = "cornelsaddle"

// modelList is the answer to pathModels.
type modelList struct {
	Object string  `json:"object"`
	Data   []model `json:"data"`
}

type model struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	OwnedBy string `json:"owned_by"`
}

// models lists the model services that are open to the organisation.
func (a *API) models(ctx *fasthttp.RequestCtx, s scope) {
	defer a.leave()
	data, err := json.Marshal(openModels(s.snapshot.Document, s.organisation))
	if err != nil {
		a.fail(ctx, s, err)
		return
	}
	ctx.Response.Header.SetContentType("application/json")
	ctx.SetBody(data)
}

func openModels(doc *configuration.Document, organisation string) modelList {
	names := slices.Clone(doc.Organisations[organisation].Services)
	slices.Sort(names)
	list := modelList{Object: "list", Data: []model{}}
	for _, name := range slices.Compact(names) {
		if doc.Services[name].Kind == configuration.KindModel {
			list.Data = append(list.Data, model{name, "model", modelOwner})
		}
	}
	return list
}
