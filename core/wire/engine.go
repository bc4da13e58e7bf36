package wire

// Paths of an endpoint's HTTP interface.
const (
	PathCompletions     = "/v1/completions"
	PathChatCompletions = "/v1/chat/completions"
	PathEngineLoad      = "/v1/load"
	PathReservations    = "/v1/reservations"
	PathOrders          = "/v1/orders"
	PathDescription     = "/v1/description"
	PathStarted         = "/v1/started"
	PathCancel          = "/v1/cancel"
	PathCacheEvents     = "/v1/cache-events"
	PathOperations      = "/v1/operations/"
	PathEffects         = "/v1/effects"
)

// Headers exchanged between the entry VMs and the endpoints.
const (
	HeaderRequestID = "X-Request-Id"
	HeaderAttempt   = "X-Attempt"
	HeaderOwner     = "X-Owner"
	HeaderPriority  = "X-Priority"
	HeaderRan       = "X-Request-Ran"
	// HeaderLimit has the number of requests per second that an endpoint takes from all VMs
	// together, as long as its responses have it.
	HeaderLimit          = "X-Request-Limit"
	HeaderTimeoutMs      = "X-Request-Timeout-Ms"
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderReservation    = "X-Reservation"
	// HeaderLoadReport carries the engine's LoadReport as JSON in the response to a
	// streaming request.
	HeaderLoadReport = "X-Load-Report"
)

// Priority is the priority at which an engine schedules a prompt's prefill.
type Priority int

// The priorities, highest first.
const (
	PriorityHigh Priority = iota
	PriorityLow
)

// CompletionRequest holds the fields of an OpenAI-compatible completion request
// that cornelsaddle and the engines use.
type CompletionRequest struct {
	Model     string        `json:"model"`
	Prompt    string        `json:"prompt,omitempty"`
	Messages  []ChatMessage `json:"messages,omitempty"`
	MaxTokens int           `json:"max_tokens,omitempty"`
	Stream    bool          `json:"stream,omitempty"`
	// Delivered is the number of tokens already delivered to the caller; the
	// engine continues with the next one.
	Delivered int `json:"delivered,omitempty"`
	// Resume is the text of the delivered tokens.
	Resume string `json:"resume,omitempty"`
}

// ChatMessage is a message of a chat request.
type ChatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// Chunk is the data of one event of a streamed answer.
type Chunk struct {
	ID      string        `json:"id"`
	Object  string        `json:"object"`
	Model   string        `json:"model"`
	Choices []ChunkChoice `json:"choices"`
	Usage   *Usage        `json:"usage,omitempty"`
}

// ChunkChoice is a choice of a Chunk. Its text is in Text for completions and in
// Delta for chats.
type ChunkChoice struct {
	Index        int        `json:"index"`
	Text         string     `json:"text,omitempty"`
	Delta        *ChatDelta `json:"delta,omitempty"`
	FinishReason *string    `json:"finish_reason"`
}

// ChatDelta is an increment of a streamed chat message.
type ChatDelta struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

// Usage is the number of tokens of a request and its answer.
type Usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CachedTokens     int `json:"cached_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

// StreamDone is the data of the event that ends a complete stream. The id of that
// event is request/attempt/index as for a token, with the number of tokens as
// index.
const StreamDone = "[DONE]"

// LoadReport is the load that an engine reports. It may be outdated on arrival.
type LoadReport struct {
	// AtMs is the time of the report by the engine's clock, in milliseconds since
	// the Unix epoch.
	AtMs int64 `json:"at_ms"`
	// Incarnation changes with every start of the engine.
	Incarnation string `json:"incarnation"`
	// QueuedTokens is the prefill backlog by priority, in tokens.
	QueuedTokens [2]int64 `json:"queued_tokens"`
	// Running is the number of sequences in decode.
	Running int `json:"running"`
	// FreeTokens and TotalTokens are the free and total KV cache memory, in tokens.
	FreeTokens  int64 `json:"free_tokens"`
	TotalTokens int64 `json:"total_tokens"`
	// PrefillRate is the prefill speed, in tokens per second.
	PrefillRate float64 `json:"prefill_rate"`
	// Leaving reports that the endpoint is being drained and accepts no new
	// requests.
	Leaving bool `json:"leaving,omitempty"`
}

// Owner identifies the owner of memory reserved at an engine.
type Owner struct {
	VM          string `json:"vm"`
	Incarnation int64  `json:"incarnation"`
	Request     string `json:"request"`
}

// Reservation is KV cache memory reserved at an engine for an owner. The owner
// chooses the id; another request with the same id renews the reservation.
type Reservation struct {
	ID     string `json:"id"`
	Owner  Owner  `json:"owner"`
	Tokens int64  `json:"tokens"`
	// TTLMs is the time to live since the last renewal, in milliseconds.
	TTLMs int64 `json:"ttl_ms"`
	// Renew requires that the reservation exists already.
	Renew bool `json:"renew,omitempty"`
	// Group is the total memory of the group of reservations that this one
	// belongs to, in tokens; the lead engine may use all of it.
	Group int64 `json:"group,omitempty"`
	// Lead is the address of the group's lead engine, which streams the answer.
	Lead string `json:"lead,omitempty"`
	// InUse reports that an active stream uses the reservation.
	InUse bool `json:"in_use,omitempty"`
}

// ReservationRefusal is the response to a reservation that does not fit into the
// free memory, or to the renewal of one that does not exist any more.
type ReservationRefusal struct {
	Error      string `json:"error"`
	FreeTokens int64  `json:"free_tokens"`
}

// ReservationList lists the reservations at an engine.
type ReservationList struct {
	Reservations []Reservation `json:"reservations"`
}

// Order instructs an endpoint what to serve. Each order specifies the complete
// desired state, not a change to the previous one.
type Order struct {
	Fencing  int64    `json:"fencing"`
	Model    string   `json:"model"`
	Version  string   `json:"version"`
	Adapters []string `json:"adapters,omitempty"`
	Role     string   `json:"role,omitempty"`
}

// Description is the state that an endpoint reports.
type Description struct {
	Incarnation string `json:"incarnation"`
	// ChecksFencing reports whether the endpoint rejects orders with an outdated
	// fencing number.
	ChecksFencing bool  `json:"checks_fencing"`
	Current       Order `json:"current"`
	Loading       bool  `json:"loading"`
	TotalTokens   int64 `json:"total_tokens"`
}

// Cancel requests that an attempt's stream be ended and its resources be freed.
type Cancel struct {
	Request string `json:"request"`
	Attempt int    `json:"attempt"`
}

// StartedList lists the attempts that an endpoint started, as request/attempt.
type StartedList struct {
	Started []string `json:"started"`
}

// CacheEvent reports blocks added to or removed from an engine's prefix cache.
// Events may arrive late or be lost. The engine assigns Sequence without gaps, so
// a receiver can detect lost events.
type CacheEvent struct {
	Sequence int64    `json:"sequence"`
	Added    []uint64 `json:"added,omitempty"`
	Removed  []uint64 `json:"removed,omitempty"`
}

// CacheEvents lists the events that an engine published after the requested
// sequence number.
type CacheEvents struct {
	Incarnation string       `json:"incarnation"`
	Events      []CacheEvent `json:"events"`
}
