package wire

// PlatformFaults is what a stand-in platform is told to do wrong.
type PlatformFaults struct {
	// Down refuses every request with 503.
	Down bool `json:"down"`
	// DelayMs is added to every answer.
	DelayMs int64 `json:"delay_ms"`
	// LoseAnswers is the number of writes to come whose answer is lost after
	// the write took effect.
	LoseAnswers int `json:"lose_answers"`
	// LoseRequests is the number of writes to come that are lost before they
	// take effect.
	LoseRequests int `json:"lose_requests"`
}

// EngineFaults is what a stand-in engine is told to do wrong.
type EngineFaults struct {
	// Stall stops all progress; connections stay open.
	Stall bool `json:"stall"`
	// CutAfterTokens ends the next stream without its end marker after that
	// many tokens; zero for none.
	CutAfterTokens int `json:"cut_after_tokens"`
	// Cross sends the next stream's events under another request's name.
	Cross bool `json:"cross"`
	// Duplicate sends each token of the next stream twice.
	Duplicate bool `json:"duplicate"`
	// Interleave mixes events of another request and of another attempt, each
	// with an end marker, into the next stream.
	Interleave bool `json:"interleave"`
	// Leaving makes load reports say that the engine takes no new work; it still
	// takes what is sent.
	Leaving bool `json:"leaving"`
	// Refuse answers new requests with 503 before anything starts.
	Refuse bool `json:"refuse"`
}
