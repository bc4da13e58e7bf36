package errcode

import "sort"

// The codes.
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

// Info is what is fixed for a code.
type Info struct {
	// Status is the HTTP status towards callers.
	Status int
	// Ran is the default; a failure may say otherwise.
	Ran Ran
	// Retry says whether the same request may succeed later.
	Retry bool
	// Meaning is one sentence for the operators' table.
	Meaning string
}

var table = map[Code]Info{
	BadRequest:          {400, RanNo, false, "The request is malformed."},
	BodyTooLarge:        {413, RanNo, false, "The body is over the listener's limit."},
	HeaderTooLarge:      {431, RanNo, false, "The request line and headers are over the listener's limit."},
	RequestTimeout:      {408, RanNo, true, "The request took too long to arrive."},
	TooManyConnections:  {503, RanNo, true, "The VM has as many connections open as it may."},
	UnknownRoute:        {404, RanNo, false, "There is no such path."},
	MethodNotAllowed:    {405, RanNo, false, "The path does not take the method."},
	Unauthorized:        {401, RanNo, false, "The key is missing or belongs to no organisation."},
	Forbidden:           {403, RanNo, false, "The organisation may not use the service."},
	UnknownModel:        {404, RanNo, false, "No service of the configuration has the model."},
	UnknownService:      {404, RanNo, false, "The configuration has no such service."},
	UnknownOperation:    {404, RanNo, false, "The service has no such operation."},
	UnknownCall:         {404, RanUnknown, false, "No call is recorded under the key, or its record has expired."},
	KeyRequired:         {400, RanNo, false, "The operation is not idempotent and needs an Idempotency-Key."},
	KeyReused:           {422, RanNo, false, "The Idempotency-Key was used with another body."},
	CallInProgress:      {409, RanNo, true, "A call with the key is in progress; this request sent nothing."},
	CallOutcomeUnknown:  {409, RanUnknown, false, "The call's process died, or the service's answer was lost."},
	ResultTooLarge:      {502, RanYes, false, "The call ran; its answer is over the limit and was not kept."},
	StoreUnavailable:    {503, RanNo, true, "The platform's store does not answer; nothing was sent."},
	NotReady:            {503, RanNo, true, "The VM has no confirmed configuration."},
	Draining:            {503, RanNo, true, "The VM is shutting down."},
	DeadlineUnreachable: {503, RanNo, true, "No endpoint is predicted to answer before the deadline."},
	DeadlineExceeded:    {504, RanUnknown, true, "The deadline passed."},
	QuotaExceeded:       {429, RanNo, true, "The organisation used its share."},
	NoEndpoint:          {503, RanNo, true, "No endpoint of the service takes work."},
	PromptTooLong:       {413, RanNo, false, "No endpoint or group of endpoints can hold the prompt."},
	EndpointFailed:      {502, RanUnknown, true, "The endpoint failed."},
	StreamCut:           {502, RanYes, true, "The answer stopped before its end."},
	Cancelled:           {499, RanUnknown, false, "The caller went away."},
	ConfigInvalid:       {400, RanNo, false, "The configuration breaks a rule."},
	ConfigConflict:      {409, RanNo, true, "Another change of the same file was accepted first."},
	PeerRejected:        {403, RanNo, false, "A peer's message failed its checks."},
	LeaseLost:           {409, RanNo, true, "The lease ended or has another holder."},
	StaleFencing:        {409, RanNo, false, "The order carries an old fencing number."},
	WriteUnknown:        {503, RanUnknown, true, "A write's answer was lost; it may have taken effect."},
	Internal:            {500, RanUnknown, true, "A fault of cornelsaddle itself."},
}

// Lookup returns what is fixed for the code; that of Internal for a code it
// does not know.
func Lookup(code Code) Info {
	if info, ok := table[code]; ok {
		return info
	}
	return table[Internal]
}

// Codes lists all codes in the order of their names.
func Codes() []Code {
	codes := make([]Code, 0, len(table))
	for c := range table {
		codes = append(codes, c)
	}
	sort.Slice(codes, func(i, j int) bool { return codes[i] < codes[j] })
	return codes
}
