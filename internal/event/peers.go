package event

import (
	"fmt"
	"runtime/debug"

	"github.com/apex/log"
)

// peersEvents lists the event types of this file, numbers 550 to 599.
var peersEvents = []Event{PeerRejected{}, HandlerPanicked{}}

// PeerRejected is emitted, at a limited rate, when a connection or a message of
// a peer fails its checks and is dropped.
type PeerRejected struct {
	Address string `log:"address"`
	Reason  string `log:"reason"`
	// Total is the number of connections and messages dropped so far, including
	// those that were not logged.
	Total int64 `log:"total"`
}

// Def implements Event.
func (PeerRejected) Def() Def {
	return Def{550, "peer_rejected", log.WarnLevel, "A peer's connection or message failed its checks and was dropped."}
}

// HandlerPanicked is emitted when the handler of a request of a caller or a peer
// panicked. The request fails; the process goes on.
type HandlerPanicked struct {
	// Handler is the method of a peer's request, or the path of a caller's.
	Handler string `log:"handler"`
	// Request is the ID of a caller's request; empty for a peer's.
	Request string `log:"request"`
	Reason  string `log:"reason"`
	Stack   string `log:"stack"`
}

// Def implements Event.
func (HandlerPanicked) Def() Def {
	return Def{551, "handler_panicked", log.ErrorLevel, "A request hit a defect of the program: its handler panicked for the reason. The request failed and the process goes on; stack shows where."}
}

// maxPanicBytes bounds the reason and the stack of a HandlerPanicked.
const maxPanicBytes = 2000

// NewHandlerPanicked returns the event for a recovered value. It is to be called in the
// deferred function that recovered it.
func NewHandlerPanicked(handler, request string, recovered any) HandlerPanicked {
	return HandlerPanicked{
		Handler: handler, Request: request,
		Reason: truncate(fmt.Sprint(recovered)), Stack: truncate(string(debug.Stack())),
	}
}

func truncate(s string) string { return s[:min(len(s), maxPanicBytes)] }
