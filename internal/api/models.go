package api

import (
	"encoding/json"
	"slices"

	"github.com/valyala/fasthttp"

	"cornelsaddle.example/cornelsaddle/core/configuration"
)

// pathModels is the path of the model list, which OpenAI-compatible clients use.
const pathModels = "/v1/models"

// modelOwner is the owned_by value of every model in the list.
const modelOwner = "cornelsaddle"

// modelList is the response body for pathModels.
type modelList struct {
	Object string  `json:"object"`
	Data   []model `json:"data"`
}

type model struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	OwnedBy string `json:"owned_by"`
}

// models returns the list of the model services that the organisation may use.
func (a *API) models(ctx *fasthttp.RequestCtx, info requestInfo) {
	defer a.endRequest()
	data, err := json.Marshal(allowedModels(info.snapshot.Document, info.organisation))
	if err != nil {
		a.fail(ctx, info, err)
		return
	}
	ctx.Response.Header.SetContentType("application/json")
	ctx.SetBody(data)
}

// allowedModels lists the model services that the organisation may use, by name
// and without duplicates.
func allowedModels(doc *configuration.Document, organisation string) modelList {
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
