package event

import (
	"time"

	"github.com/apex/log"
)

// memoryEvents lists the event types of this file, numbers 750 to 759: the memory for the buffers
// of a gateway.
var memoryEvents = []Event{MemoryUsedUp{}, MemoryHasRoom{}}

// MemoryUsedUp is emitted when the memory for buffers has no room for a request or a response.
type MemoryUsedUp struct {
	Limit int64 `log:"limit"`
	// Requests and Responses are the bytes in use.
	Requests  int64 `log:"requests"`
	Responses int64 `log:"responses"`
}

// Def implements Event.
func (MemoryUsedUp) Def() Def {
	return Def{750, "memory_used_up", log.WarnLevel, "The memory for buffers, limit bytes, has no room for a request's body or a response; requests and responses are the bytes in use. From now on requests whose body has no room are refused, and the largest unfinished responses fail. It is logged once, until event 751."}
}

// MemoryHasRoom is emitted when the memory for buffers has room again.
type MemoryHasRoom struct {
	Limit     int64 `log:"limit"`
	Requests  int64 `log:"requests"`
	Responses int64 `log:"responses"`
	// Refused, Failed and Unbuffered count what had no room.
	Refused    int64 `log:"refused"`
	Failed     int64 `log:"failed"`
	Unbuffered int64 `log:"unbuffered"`
	// UsedUp is for how long the memory was used up.
	UsedUp time.Duration `log:"used_up"`
}

// Def implements Event.
func (MemoryHasRoom) Def() Def {
	return Def{751, "memory_has_room", log.WarnLevel, "The memory for buffers has room again, after the time used_up. Since the event 750 before it, refused requests were answered as not run, failed responses were broken off or could not grow, and unbuffered ones were delivered as they arrived or not retained, as they need not be kept."}
}
