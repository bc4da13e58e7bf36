package prompt

import (
	"bytes"
	"fmt"
	"io"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cornelsaddle.example/cornelsaddle/core/statechart"
	"cornelsaddle.example/cornelsaddle/internal/endpoint"
	"cornelsaddle.example/cornelsaddle/internal/event"
	"cornelsaddle.example/cornelsaddle/internal/metrics"
)

// eventStream returns the body of a response with n tokens of the request's
// first attempt.
func eventStream(request string, n int) []byte {
	var b bytes.Buffer
	for i := range n {
		fmt.Fprintf(&b, "id: %s/1/%d\ndata: {\"id\":\"%s\",\"object\":\"text_completion\",\"model\":\"scribe-pool\",\"choices\":[{\"index\":0,\"text\":\"3w5e11264sgsf \",\"finish_reason\":null}]}\n\n", request, i, request)
	}
	return b.Bytes()
}

// benchAnswer returns an Answer whose first attempt streams the body.
func benchAnswer(b *testing.B, request string, body []byte) *Answer {
	b.Helper()
	log, err := event.New(io.Discard, "json", "error", "vm")
	require.NoError(b, err)
	views := fixedViews(1)
	r := NewRunner(DefaultConfig(), &fixedFleet{views: views}, endpoint.New(), &fakeEngines{}, noHolder{}, log, metrics.New())
	a, err := r.Start(Request{
		ID: request, Service: "pool", Deadline: time.Now().Add(time.Hour), Caller: &fakeCaller{},
		Snapshot: snapshotOf(views, []string{"a:1"}),
	})
	require.NoError(b, err)
	for _, ev := range []string{"admitted", "placed", "reserved"} {
		_, err := a.machine.Fire(statechart.Event(ev))
		require.NoError(b, err)
	}
	a.event = noEvent
	a.assembly.Attempt(1)
	a.attempt.stream = endpoint.NewStream(io.NopCloser(bytes.NewReader(body)))
	return a
}

// BenchmarkToken measures the cost of one token from the bytes of the engine to
// those for the caller: reading, checking its id, the chart, the watchdog and
// keeping the text for a resumption.
func BenchmarkToken(b *testing.B) {
	const request = "6f1c2d9e-8a41-4a53-9f0e-3f8f6f0a7a11"
	a := benchAnswer(b, request, eventStream(request, b.N))
	defer a.Close()
	b.ReportAllocs()
	b.ResetTimer()
	for range b.N {
		data, err := a.Next(true)
		if err != nil || len(data) == 0 {
			b.Fatal(err)
		}
	}
}
