package configuration

// Kind distinguishes model services from plain ones.
type Kind string

// The kinds of services.
const (
	KindModel Kind = "model"
	KindPlain Kind = "plain"
)

// Document is the merged configuration.
type Document struct {
	Organisations map[string]Organisation `json:"organisations"`
	Services      map[string]Service      `json:"services"`
	Endpoints     map[string]Endpoint     `json:"endpoints"`
	LengthClasses []LengthClass           `json:"length_classes"`
	Limits        Limits                  `json:"limits"`
}

// Organisation is a customer.
type Organisation struct {
	// KeyDigests are the SHA-256 digests of the organisation's API keys, in
	// hexadecimal.
	KeyDigests []string `json:"key_digests"`
	// Weight is the organisation's share of a service under contention, relative
	// to the weights of the others.
	Weight float64 `json:"weight"`
	// TokensPerSecond limits the rate of prompt and output tokens; zero for no
	// limit.
	TokensPerSecond float64 `json:"tokens_per_second,omitempty"`
	// Services are the names of the services that the organisation may call.
	Services []string `json:"services"`
}

// Service is a set of interchangeable endpoints.
type Service struct {
	Kind  Kind   `json:"kind"`
	Model string `json:"model,omitempty"`
	// MaxTimeoutMs is the longest timeout that a caller may request, in
	// milliseconds; it is also the default.
	MaxTimeoutMs int64 `json:"max_timeout_ms"`
	// DelayWeight is the weight of the delay that a prompt causes to prompts of
	// lower priority: small values favour short prompts, large values favour long
	// ones.
	DelayWeight float64 `json:"delay_weight,omitempty"`
	// BytesPerToken is a lower bound on the average number of bytes per prompt
	// token; zero for DefaultBytesPerToken.
	BytesPerToken float64 `json:"bytes_per_token,omitempty"`
	// Operations are the operations of a plain service, by name.
	Operations map[string]Operation `json:"operations,omitempty"`
	// Deploy is the deployment that the service's endpoints are ordered to serve.
	Deploy *Deploy `json:"deploy,omitempty"`
}

// DefaultBytesPerToken is used for a service that does not set BytesPerToken.
const DefaultBytesPerToken = 4

// PromptTokens returns an upper bound on the number of tokens in a prompt of the
// given size in bytes. It needs no tokeniser.
func (s Service) PromptTokens(bytes int) int64 {
	per := s.BytesPerToken
	if per == 0 {
		per = DefaultBytesPerToken
	}
	return int64(float64(bytes)/per) + 1
}

// Operation is one operation of a plain service.
type Operation struct {
	// Idempotent operations may be retried; the others require an
	// Idempotency-Key and run at most once.
	Idempotent bool `json:"idempotent"`
}

// Deploy declares the model version, adapters and role of a service's
// endpoints.
type Deploy struct {
	Version  string   `json:"version"`
	Adapters []string `json:"adapters,omitempty"`
	Role     string   `json:"role,omitempty"`
	// MaxUnavailable is the fraction of the service's endpoints that a rollout
	// may take out of service at the same time, from 0 to 1.
	MaxUnavailable float64 `json:"max_unavailable"`
}

// Endpoint is one model engine or plain service instance.
type Endpoint struct {
	Service       string `json:"service"`
	Address       string `json:"address"`
	FailureDomain string `json:"failure_domain"`
	// MemoryTokens is the KV cache capacity, in tokens. If it is zero, the
	// endpoint's own report gives the capacity.
	MemoryTokens int64 `json:"memory_tokens,omitempty"`
	// PrefillRate is the expected prefill speed in tokens per second, used until
	// an estimate from measurements is available.
	PrefillRate float64 `json:"prefill_rate,omitempty"`
	// ChecksFencing is set if the endpoint rejects orders with an outdated
	// fencing token.
	ChecksFencing bool `json:"checks_fencing,omitempty"`
	// Leaving is set for an endpoint that must get no new work.
	Leaving bool `json:"leaving,omitempty"`
}

// LengthClass is a range of prompt lengths.
type LengthClass struct {
	Name string `json:"name"`
	// MaxTokens is the longest prompt of the class, in tokens; zero for no bound.
	MaxTokens int64 `json:"max_tokens,omitempty"`
	// LowPriority gives the class the lower of the two priorities.
	LowPriority bool `json:"low,omitempty"`
}

// Limits are the limits that apply across all services.
type Limits struct {
	// RetryBudget is the fraction of requests that may be retried, from 0 to 1.
	RetryBudget float64 `json:"retry_budget"`
	// CallRetentionHours is the retention period of call rows, in hours.
	CallRetentionHours int64 `json:"call_retention_hours,omitempty"`
	// TokensPerSecond bounds the sum of the organisations' TokensPerSecond; zero
	// for no bound.
	TokensPerSecond float64 `json:"tokens_per_second,omitempty"`
	// WeightLoadsPerSecond limits the total rate at which all VMs load from the
	// weight store; zero for no limit.
	WeightLoadsPerSecond float64 `json:"weight_loads_per_second,omitempty"`
}

// DefaultLengthClasses returns the length classes of a document that defines
// none.
func DefaultLengthClasses() []LengthClass {
	return []LengthClass{
		{Name: "short", MaxTokens: 4 << 10},
		{Name: "medium", MaxTokens: 32 << 10},
		{Name: "long", MaxTokens: 256 << 10, LowPriority: true},
		{Name: "oversize", LowPriority: true},
	}
}

// ClassOf returns the length class of a prompt with the given number of tokens.
func (d *Document) ClassOf(tokens int64) LengthClass {
	classes := d.LengthClasses
	if len(classes) == 0 {
		classes = DefaultLengthClasses()
	}
	for _, c := range classes {
		if c.MaxTokens == 0 || tokens <= c.MaxTokens {
			return c
		}
	}
	return classes[len(classes)-1]
}
