package configuration

// Kind tells model services from plain ones.
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
	// KeyDigests are the SHA-256 digests of its keys, in hexadecimal.
	KeyDigests []string `json:"key_digests"`
	// Weight is its share of a busy service, relative to the others.
	Weight float64 `json:"weight"`
	// TokensPerSecond limits its prompt and answer tokens; zero for no limit.
	TokensPerSecond float64 `json:"tokens_per_second,omitempty"`
	// Services it may use.
	Services []string `json:"services"`
}

// Service is a set of endpoints that serve the same thing.
type Service struct {
	Kind  Kind   `json:"kind"`
	Model string `json:"model,omitempty"`
	// MaxTimeoutMs caps the deadline that a caller may ask for; it is also the
	// default.
	MaxTimeoutMs int64 `json:"max_timeout_ms"`
	// DelayWeight is the weight of the delay that a prompt puts on those of
	// lower priority: small values favour short prompts, large ones long ones.
	DelayWeight float64 `json:"delay_weight,omitempty"`
	// BytesPerToken is the fewest bytes that a token of its prompts takes on
	// average; zero for DefaultBytesPerToken.
	BytesPerToken float64 `json:"bytes_per_token,omitempty"`
	// Operations of a plain service.
	Operations map[string]Operation `json:"operations,omitempty"`
	// Deploy is what the service's endpoints are ordered to serve.
	Deploy *Deploy `json:"deploy,omitempty"`
}

// DefaultBytesPerToken holds for a service that sets none.
const DefaultBytesPerToken = 4

// PromptTokens bounds the length of a prompt of so many bytes from above, in
// tokens, without a tokeniser.
func (s Service) PromptTokens(bytes int) int64 {
	per := s.BytesPerToken
	if per == 0 {
		per = DefaultBytesPerToken
	}
	return int64(float64(bytes)/per) + 1
}

// Operation is one operation of a plain service.
type Operation struct {
	// Idempotent operations may be repeated; the others need an
	// Idempotency-Key and run at most once.
	Idempotent bool `json:"idempotent"`
}

// Deploy declares the model version, adapters and role of endpoints.
type Deploy struct {
	Version  string   `json:"version"`
	Adapters []string `json:"adapters,omitempty"`
	Role     string   `json:"role,omitempty"`
	// MaxUnavailable is the share of the service's endpoints that a change may
	// take out of service at once, from 0 to 1.
	MaxUnavailable float64 `json:"max_unavailable"`
}

// Endpoint is one model engine or plain service instance.
type Endpoint struct {
	Service       string `json:"service"`
	Address       string `json:"address"`
	FailureDomain string `json:"failure_domain"`
	// MemoryTokens is the KV memory, in tokens.
	MemoryTokens int64 `json:"memory_tokens,omitempty"`
	// PrefillRate is the expected prefill speed in tokens a second, used until
	// one is learnt.
	PrefillRate float64 `json:"prefill_rate,omitempty"`
	// ChecksFencing says that the endpoint refuses orders with an old fencing
	// number.
	ChecksFencing bool `json:"checks_fencing,omitempty"`
	// Leaving endpoints get no new work.
	Leaving bool `json:"leaving,omitempty"`
}

// LengthClass is a range of prompt lengths.
type LengthClass struct {
	Name string `json:"name"`
	// MaxTokens is the longest prompt of the class; zero for no bound.
	MaxTokens int64 `json:"max_tokens,omitempty"`
	// Low puts the class at the lower priority.
	Low bool `json:"low,omitempty"`
}

// Limits holds for all services.
type Limits struct {
	// RetryBudget is the share of requests that may be retried, from 0 to 1.
	RetryBudget float64 `json:"retry_budget"`
	// CallRetentionHours is how long the rows of calls are kept.
	CallRetentionHours int64 `json:"call_retention_hours,omitempty"`
	// TokensPerSecond bounds the sum of the organisations' limits; zero for no
	// bound.
	TokensPerSecond float64 `json:"tokens_per_second,omitempty"`
	// WeightLoadsPerSecond limits the loads from the weight store by all VMs
	// together; zero for no limit.
	WeightLoadsPerSecond float64 `json:"weight_loads_per_second,omitempty"`
}

// DefaultLengthClasses are used when the document has none.
func DefaultLengthClasses() []LengthClass {
	return []LengthClass{
		{Name: "short", MaxTokens: 4 << 10},
		{Name: "medium", MaxTokens: 32 << 10},
		{Name: "long", MaxTokens: 256 << 10, Low: true},
		{Name: "oversize", Low: true},
	}
}

// ClassOf returns the length class of a prompt of so many tokens.
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
