package wire

// PlatformFaults configures fault injection in a stand-in platform.
type PlatformFaults struct {
	// Down answers every request with status 503.
	Down bool `json:"down"`
	// DelayMs delays every response, in milliseconds.
	DelayMs int64 `json:"delay_ms"`
	// LoseAnswers is the number of subsequent writes that take effect but whose
	// response is lost.
	LoseAnswers int `json:"lose_answers"`
	// LoseRequests is the number of subsequent writes that are lost before they
	// take effect.
	LoseRequests int `json:"lose_requests"`
}

// EngineFaults configures fault injection in a stand-in engine.
type EngineFaults struct {
	// Stall stops all progress while connections stay open.
	Stall bool `json:"stall"`
	// CutAfterTokens ends the next stream after that many tokens without its end
	// marker; zero disables the fault.
	CutAfterTokens int `json:"cut_after_tokens"`
	// Cross sends the events of the next stream with the id of another request.
	Cross bool `json:"cross"`
	// Duplicate sends each token of the next stream twice.
	Duplicate bool `json:"duplicate"`
	// Interleave mixes events of another request and of another attempt, each
	// with an end marker, into the next stream.
	Interleave bool `json:"interleave"`
	// Leaving sets LoadReport.Leaving; the engine still accepts the requests that
	// it receives.
	Leaving bool `json:"leaving"`
	// Refuse answers new requests with status 503 before any work starts.
	Refuse bool `json:"refuse"`
}
