package api

import (
	"encoding/json"
	"slices"

	"github.com/valyala/fasthttp"

	"cornelsaddle.example/cornelsaddle/core/calls"
	"cornelsaddle.example/cornelsaddle/core/errcode"
	"cornelsaddle.example/cornelsaddle/core/wire"
	"cornelsaddle.example/cornelsaddle/internal/call"
)

// service handles a call to a plain service.
func (a *API) service(ctx *fasthttp.RequestCtx, info requestInfo) {
	defer a.endRequest()
	req, idempotent, err := a.parseCallRequest(ctx, info)
	if err != nil {
		a.fail(ctx, info, err)
		return
	}
	run := a.calls.Once
	if idempotent {
		run = a.calls.Idempotent
	}
	answer, err := run(req)
	if err != nil {
		a.fail(ctx, info, err)
		return
	}
	ctx.Response.Header.Set(wire.HeaderRan, string(errcode.RanYes))
	ctx.Response.Header.SetContentType("application/json")
	ctx.SetStatusCode(answer.Status)
	ctx.Response.SetBodyRaw(answer.Body)
}

// callState is the response body with the state of a recorded call.
type callState struct {
	Status calls.Status `json:"status"`
	Ran    errcode.Ran  `json:"ran"`
	// HTTPStatus and Body are the service's response, once the call is done.
	HTTPStatus int    `json:"http_status,omitempty"`
	Body       string `json:"body,omitempty"`
}

// callState returns the recorded state of the organisation's call under a key.
func (a *API) callState(ctx *fasthttp.RequestCtx, info requestInfo) {
	defer a.endRequest()
	service, _ := ctx.UserValue("service").(string)
	key, _ := ctx.UserValue("key").(string)
	state, err := a.calls.State(info.organisation, service, key)
	if err != nil {
		a.fail(ctx, info, err)
		return
	}
	data, err := json.Marshal(callState{state.Status, state.Ran, state.Answer.Status, string(state.Answer.Body)})
	if err != nil {
		a.fail(ctx, info, err)
		return
	}
	ctx.Response.Header.Set(wire.HeaderRan, string(state.Ran))
	ctx.Response.Header.SetContentType("application/json")
	ctx.SetBody(data)
}

// maxKeyBytes is the maximum length of an idempotency key.
const maxKeyBytes = 255

// validKey reports whether the key consists of at most maxKeyBytes visible ASCII
// characters. An empty key is valid.
func validKey(key string) bool {
	for _, c := range []byte(key) {
		if c <= ' ' || c >= 0x7f {
			return false
		}
	}
	return len(key) <= maxKeyBytes
}

// parseCallRequest parses and validates a call. It also reports whether the
// operation is idempotent.
func (a *API) parseCallRequest(ctx *fasthttp.RequestCtx, info requestInfo) (call.Request, bool, error) {
	name, _ := ctx.UserValue("service").(string)
	operation, _ := ctx.UserValue("operation").(string)
	service, ok := info.snapshot.Services[name]
	if !ok || service.Kind != "plain" {
		return call.Request{}, false, errcode.New(errcode.UnknownService, "no service %q", name)
	}
	if !slices.Contains(info.snapshot.Organisations[info.organisation].Services, name) {
		return call.Request{}, false, errcode.New(errcode.Forbidden, "service %s is not open to the organisation", name)
	}
	op, ok := service.Operations[operation]
	if !ok {
		return call.Request{}, false, errcode.New(errcode.UnknownOperation, "no operation %q", operation)
	}
	key := string(ctx.Request.Header.Peek(wire.HeaderIdempotencyKey))
	if key == "" && !op.Idempotent {
		return call.Request{}, false, errcode.New(errcode.KeyRequired, "operation %s needs an %s", operation, wire.HeaderIdempotencyKey)
	}
	if !validKey(key) {
		return call.Request{}, false, errcode.New(errcode.BadRequest, "an %s has at most %d visible ASCII characters", wire.HeaderIdempotencyKey, maxKeyBytes)
	}
	end, err := deadline(ctx, service.MaxTimeoutMs)
	return call.Request{
		ID:           info.id,
		Organisation: info.organisation,
		Service:      name,
		Operation:    operation,
		Key:          key,
		Body:         append([]byte(nil), ctx.PostBody()...),
		Deadline:     end,
		Snapshot:     info.snapshot,
	}, op.Idempotent, err
}
