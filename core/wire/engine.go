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

// Headers between the entry VMs and the endpoints.
const (
	HeaderRequestID      = "X-Request-Id"
	HeaderAttempt        = "X-Attempt"
	HeaderOwner          = "X-Owner"
	HeaderPriority       = "X-Priority"
	HeaderRan            = "X-Request-Ran"
	HeaderTimeoutMs      = "X-Request-Timeout-Ms"
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderReservation    = "X-Reservation"
	// HeaderLoadReport carries an engine's LoadReport with a stream, as JSON.
	HeaderLoadReport = "X-Load-Report"
)

// Priority is the level at which an engine serves a prompt's prefill.
type Priority int

// Priorities, the more urgent first.
const (
	PriorityHigh Priority = iota
	PriorityLow
)

// CompletionRequest is the part of an OpenAI-compatible completion request
// that cornelsaddle and the engines read.
type CompletionRequest struct {
	Model     string        `json:"model"`
	Prompt    string        `json:"prompt,omitempty"`
	Messages  []ChatMessage `json:"messages,omitempty"`
	MaxTokens int           `json:"max_tokens,omitempty"`
	Stream    bool          `json:"stream,omitempty"`
	// Delivered is the number of tokens that the caller already has: the
	// engine goes on from the next one.
	Delivered int `json:"delivered,omitempty"`
	// Resume is the text of the tokens already delivered.
	Resume string `json:"resume,omitempty"`
}

// ChatMessage is one message of a chat.
type ChatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// Chunk is one event of a streamed answer.
type Chunk struct {
	ID      string        `json:"id"`
	Object  string        `json:"object"`
	Model   string        `json:"model"`
	Choices []ChunkChoice `json:"choices"`
	Usage   *Usage        `json:"usage,omitempty"`
}

// ChunkChoice is the text of a Chunk: Text for completions, Delta for chats.
type ChunkChoice struct {
	Index        int        `json:"index"`
	Text         string     `json:"text,omitempty"`
	Delta        *ChatDelta `json:"delta,omitempty"`
	FinishReason *string    `json:"finish_reason"`
}

// ChatDelta is a streamed piece of a chat message.
type ChatDelta struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

// Usage counts the tokens of an answer.
type Usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CachedTokens     int `json:"cached_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

// StreamDone is the data of the event that ends a whole stream. Its id is
// request/attempt/index like a token's, with the number of tokens as index.
const StreamDone = "[DONE]"

// LoadReport is an engine's own account of its load, which lags.
type LoadReport struct {
	// AtMs is the engine's clock when the report was taken, in milliseconds
	// since the epoch.
	AtMs int64 `json:"at_ms"`
	// Incarnation changes with every start of the engine.
	Incarnation string `json:"incarnation"`
	// QueuedTokens is the prefill still to do, by priority.
	QueuedTokens [2]int64 `json:"queued_tokens"`
	// Running is the number of sequences being decoded.
	Running int `json:"running"`
	// FreeTokens and TotalTokens are the KV memory, in tokens.
	FreeTokens  int64 `json:"free_tokens"`
	TotalTokens int64 `json:"total_tokens"`
	// PrefillRate is the prefill speed, in tokens a second.
	PrefillRate float64 `json:"prefill_rate"`
	// Leaving says that the endpoint takes no new work.
	Leaving bool `json:"leaving,omitempty"`
}

// Owner names whom memory on an engine belongs to.
type Owner struct {
	VM          string `json:"vm"`
	Incarnation int64  `json:"incarnation"`
	Request     string `json:"request"`
}

// Reservation is KV memory held at an engine for an owner, who chooses its id:
// asking for the same id again renews it.
type Reservation struct {
	ID     string `json:"id"`
	Owner  Owner  `json:"owner"`
	Tokens int64  `json:"tokens"`
	// TTLMs is the time limit, counted from the last renewal.
	TTLMs int64 `json:"ttl_ms"`
	// Renew says that the reservation must exist already.
	Renew bool `json:"renew,omitempty"`
	// Group is the memory of the whole group that the reservation is part of,
	// in tokens: what its lead engine may count on.
	Group int64 `json:"group,omitempty"`
	// Lead is the address of the group's lead engine, which streams the answer.
	Lead string `json:"lead,omitempty"`
	// InUse says that a live stream uses it.
	InUse bool `json:"in_use,omitempty"`
}

// ReservationRefusal is the answer to a reservation that does not fit, or that
// does not exist any more.
type ReservationRefusal struct {
	Error      string `json:"error"`
	FreeTokens int64  `json:"free_tokens"`
}

// ReservationList is what an engine holds.
type ReservationList struct {
	Reservations []Reservation `json:"reservations"`
}

// Order tells an endpoint what it is to serve. Orders are absolute: each says
// the whole state.
type Order struct {
	Fencing  int64    `json:"fencing"`
	Model    string   `json:"model"`
	Version  string   `json:"version"`
	Adapters []string `json:"adapters,omitempty"`
	Role     string   `json:"role,omitempty"`
}

// Description is what an endpoint says of itself.
type Description struct {
	Incarnation string `json:"incarnation"`
	// ChecksFencing says whether orders with an old fencing number are refused.
	ChecksFencing bool  `json:"checks_fencing"`
	Current       Order `json:"current"`
	Loading       bool  `json:"loading"`
	TotalTokens   int64 `json:"total_tokens"`
}

// Cancel ends an attempt's stream and frees what it holds.
type Cancel struct {
	Request string `json:"request"`
	Attempt int    `json:"attempt"`
}

// StartedList names the attempts that an endpoint started, as request/attempt.
type StartedList struct {
	Started []string `json:"started"`
}

// CacheEvent says that blocks entered or left an engine's prefix cache. Events
// come late and with gaps; Sequence has no gaps at the engine.
type CacheEvent struct {
	Sequence int64    `json:"sequence"`
	Added    []uint64 `json:"added,omitempty"`
	Removed  []uint64 `json:"removed,omitempty"`
}

// CacheEvents is what an engine published after the sequence asked for.
type CacheEvents struct {
	Incarnation string       `json:"incarnation"`
	Events      []CacheEvent `json:"events"`
}
