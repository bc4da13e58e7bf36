package errcode

import "sort"

// The error codes.
const (
	BadRequest          Code = "bad_request"
	BodyTooLarge        Code = "body_too_large"
	HeaderTooLarge      Code = "header_too_large"
	RequestTimeout      Code = "request_timeout"
	TooManyConnections  Code = "too_many_connections"
	UnknownRoute        Code = "unknown_route"
	MethodNotAllowed    Code = "method_not_allowed"
	Unauthorized        Code = "unauthorized"
	Forbidden           Code = "forbidden"
	UnknownModel        Code = "unknown_model"
	UnknownService      Code = "unknown_service"
	UnknownOperation    Code = "unknown_operation"
	UnknownCall         Code = "unknown_call"
	KeyRequired         Code = "idempotency_key_required"
	KeyReused           Code = "idempotency_key_reused"
	CallInProgress      Code = "call_in_progress"
	CallOutcomeUnknown  Code = "call_outcome_unknown"
	ResultTooLarge      Code = "result_too_large"
	StoreUnavailable    Code = "store_unavailable"
	NotReady            Code = "not_ready"
	Draining            Code = "draining"
	DeadlineUnreachable Code = "deadline_unreachable"
	DeadlineExceeded    Code = "deadline_exceeded"
	QuotaExceeded       Code = "quota_exceeded"
	NoEndpoint          Code = "no_endpoint"
	EndpointsLimited    Code = "endpoints_limited"
	RequestWithheld     Code = "request_withheld"
	PromptTooLong       Code = "prompt_too_long"
	EndpointFailed      Code = "endpoint_failed"
	StreamCut           Code = "stream_cut"
	Cancelled           Code = "cancelled"
	ConfigInvalid       Code = "config_invalid"
	ConfigConflict      Code = "config_conflict"
	PeerRejected        Code = "peer_rejected"
	LeaseLost           Code = "lease_lost"
	StaleFencing        Code = "stale_fencing"
	WriteUnknown        Code = "write_unknown"
	Internal            Code = "internal"
)

// Info holds the properties that all errors with one code share.
type Info struct {
	// Status is the HTTP status returned to callers.
	Status int
	// Ran is the default value of Error.Ran, which an error may override.
	Ran Ran
	// Retry reports whether the same request may succeed later.
	Retry bool
	// Meaning is a one-sentence description for docs/ERRORS.md.
	Meaning string
}

var table = map[Code]Info{
	BadRequest:          {400, RanNo, false, "The request is malformed."},
	BodyTooLarge:        {413, RanNo, false, "The request body exceeds the listener's limit."},
	HeaderTooLarge:      {431, RanNo, false, "The request line and headers exceed the listener's limit."},
	RequestTimeout:      {408, RanNo, true, "The request was not received within the read timeout."},
	TooManyConnections:  {503, RanNo, true, "The VM has reached its limit of open connections."},
	UnknownRoute:        {404, RanNo, false, "The path does not exist."},
	MethodNotAllowed:    {405, RanNo, false, "The path does not support the HTTP method."},
	Unauthorized:        {401, RanNo, false, "The API key or token is missing or invalid."},
	Forbidden:           {403, RanNo, false, "The organisation is not permitted to use the service."},
	UnknownModel:        {404, RanNo, false, "No configured service provides the model."},
	UnknownService:      {404, RanNo, false, "The service is not in the configuration."},
	UnknownOperation:    {404, RanNo, false, "The service does not define the operation."},
	UnknownCall:         {404, RanUnknown, false, "No call is recorded under the idempotency key, or its record has expired."},
	KeyRequired:         {400, RanNo, false, "The operation is not idempotent and requires an Idempotency-Key."},
	KeyReused:           {422, RanNo, false, "The Idempotency-Key was already used with a different body."},
	CallInProgress:      {409, RanNo, true, "A call with the same Idempotency-Key is in progress; this request was not sent to the service."},
	CallOutcomeUnknown:  {409, RanUnknown, false, "The process making the call terminated, or the service's response was lost."},
	ResultTooLarge:      {502, RanYes, false, "The call ran; its response exceeds the size limit and was not stored."},
	StoreUnavailable:    {503, RanNo, true, "The platform's store is unavailable; no request was sent to the service."},
	NotReady:            {503, RanNo, true, "The VM has no confirmed configuration."},
	Draining:            {503, RanNo, true, "The VM is shutting down."},
	DeadlineUnreachable: {503, RanNo, true, "No endpoint is predicted to respond before the deadline."},
	DeadlineExceeded:    {504, RanUnknown, true, "The deadline passed."},
	QuotaExceeded:       {429, RanNo, true, "The organisation has exhausted its quota or exceeds its share of a busy service."},
	NoEndpoint:          {503, RanNo, true, "No endpoint of the service can accept the request."},
	RequestWithheld:     {503, RanNo, true, "The request crashes the endpoints that run it, and is not sent to any for a while."},
	EndpointsLimited:    {503, RanNo, true, "The endpoints of the service take fewer requests a second than come, by the limits that they name."},
	PromptTooLong:       {413, RanNo, false, "The prompt does not fit in the memory of any endpoint or group of endpoints."},
	EndpointFailed:      {502, RanUnknown, true, "The request failed at the endpoint."},
	StreamCut:           {502, RanYes, true, "The response stream ended prematurely."},
	Cancelled:           {499, RanUnknown, false, "The caller disconnected before the response was complete."},
	ConfigInvalid:       {400, RanNo, false, "The configuration is invalid."},
	ConfigConflict:      {409, RanNo, true, "A concurrent change to the same file was accepted first."},
	PeerRejected:        {403, RanNo, false, "A message from a peer failed validation."},
	LeaseLost:           {409, RanNo, true, "The lease has expired or has a different holder."},
	StaleFencing:        {409, RanNo, false, "The order carries an outdated fencing number."},
	WriteUnknown:        {503, RanUnknown, true, "The response to a write was lost; the write may have taken effect."},
	Internal:            {500, RanUnknown, true, "An internal error in cornelsaddle."},
}

// Lookup returns the properties of the code. For an unknown code it returns
// those of Internal.
func Lookup(code Code) Info {
	if info, ok := table[code]; ok {
		return info
	}
	return table[Internal]
}

// Codes returns all codes in alphabetical order.
func Codes() []Code {
	codes := make([]Code, 0, len(table))
	for c := range table {
		codes = append(codes, c)
	}
	sort.Slice(codes, func(i, j int) bool { return codes[i] < codes[j] })
	return codes
}
