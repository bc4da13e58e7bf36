package prompt

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cornelsaddle.example/cornelsaddle/core/configuration"
	"cornelsaddle.example/cornelsaddle/core/errcode"
	"cornelsaddle.example/cornelsaddle/core/placement"
	"cornelsaddle.example/cornelsaddle/core/wire"
	"cornelsaddle.example/cornelsaddle/internal/endpoint"
	"cornelsaddle.example/cornelsaddle/internal/event"
	"cornelsaddle.example/cornelsaddle/internal/metrics"
	"cornelsaddle.example/cornelsaddle/internal/peer"
	"cornelsaddle.example/cornelsaddle/internal/reserve"
	"cornelsaddle.example/cornelsaddle/standin/engine"
)

const (
	engineMemory = 4000
	waitLimit    = 20 * time.Second
)

// pool is a Runner with stand-in engines.
type pool struct {
	*Runner
	engines   []*engine.Server
	views     []placement.View
	addresses []string
}

func newPool(t *testing.T, n int) *pool {
	t.Helper()
	p := &pool{views: fixedViews(n)}
	for i := range n {
		e, err := engine.Start(engine.Config{Address: "127.0.0.1:0", Model: engine.ModelConfig{
			MemoryTokens: engineMemory, PrefillRate: 1e6, DecodeStep: time.Millisecond, PrefillChunkTokens: 512, PriorityScheduling: true,
		}})
		require.NoError(t, err)
		t.Cleanup(e.Close)
		p.views[i].Memory = engineMemory
		p.engines = append(p.engines, e)
		p.addresses = append(p.addresses, e.Addr())
	}
	log, err := event.New(io.Discard, "json", "info", "vm")
	require.NoError(t, err)
	streams, caller, mux := endpoint.New(), endpoint.NewCaller(), peer.NewMux()
	self := peer.Identity{VM: "vm", Incarnation: 1}
	cfg := reserve.DefaultConfig()
	cfg.Renew = 50 * time.Millisecond
	holder := reserve.NewHolder(cfg, self, reserve.NewCoordinator(cfg, caller, mux), nil, reserve.SingleVM{Self: self}, mux)
	holder.Start()
	p.Runner = NewRunner(DefaultConfig(), &fixedFleet{views: p.views}, streams, caller, holder, log, metrics.New())
	t.Cleanup(func() {
		p.Close()
		holder.Stop()
		streams.Close()
		caller.Close()
	})
	return p
}

// runPrompt runs a prompt of about the given number of tokens. It returns the
// text received, the text expected, and the error that ended the answer.
func (p *pool) runPrompt(t *testing.T, id string, tokens, answer int, timeout time.Duration) (text, want string, err error) {
	t.Helper()
	prompt := id + strings.Repeat(" oak", tokens)
	body, err := json.Marshal(wire.CompletionRequest{Prompt: prompt, MaxTokens: answer, Stream: true})
	require.NoError(t, err)
	class := configuration.LengthClass{Name: "short"}
	if tokens > 1000 {
		class = configuration.LengthClass{Name: "long", LowPriority: true}
	}
	a, err := p.Start(Request{
		ID: id, Organisation: "framers", Service: "pool", Path: wire.PathCompletions, Body: body,
		Tokens: int64(len(body)/4 + 1), MaxTokens: int64(answer), Class: class,
		Deadline: time.Now().Add(timeout), Caller: &fakeCaller{}, Snapshot: snapshotOf(p.views, p.addresses),
	})
	require.NoError(t, err)
	defer a.Close()
	var out strings.Builder
	for {
		data, err := a.Next(true)
		if err != nil {
			return out.String(), engine.AnswerText(prompt, int64(answer)), err
		}
		var chunk wire.Chunk
		require.NoError(t, json.Unmarshal(data, &chunk))
		out.WriteString(chunk.Choices[0].Text)
	}
}

func (p *pool) requireFree(t *testing.T) {
	t.Helper()
	for _, e := range p.engines {
		require.Eventually(t, func() bool { return e.Free() == engineMemory }, waitLimit, 5*time.Millisecond)
	}
}

func (p *pool) setFaults(f wire.EngineFaults) {
	for _, e := range p.engines {
		e.SetFaults(f)
	}
}

func TestWholeAnswersDespiteFaults(t *testing.T) {
	p := newPool(t, 3)
	faults := map[string]wire.EngineFaults{
		"none":        {},
		"cut":         {CutAfterTokens: 5},
		"crossed":     {Cross: true},
		"duplicated":  {Duplicate: true},
		"interleaved": {Interleave: true},
		"all":         {CutAfterTokens: 3, Interleave: true, Duplicate: true},
	}
	for name, f := range faults {
		t.Run(name, func(t *testing.T) {
			p.setFaults(f)
			text, want, err := p.runPrompt(t, name, 20, 30, waitLimit)
			require.ErrorIs(t, err, io.EOF)
			require.Equal(t, want, text)
			p.requireFree(t)
		})
	}
}

func TestConcurrentAnswersAreNotMixed(t *testing.T) {
	p := newPool(t, 3)
	var wg sync.WaitGroup
	for i := range 40 {
		wg.Go(func() {
			if i%10 == 0 {
				p.engines[i%3].SetFaults(wire.EngineFaults{CutAfterTokens: 4, Interleave: true})
			}
			text, want, err := p.runPrompt(t, fmt.Sprintf("r%d", i), 50, 20, waitLimit)
			if errors.Is(err, io.EOF) && text != want {
				t.Errorf("r%d: wrong answer", i)
			}
			if !errors.Is(err, io.EOF) && !strings.HasPrefix(want, text) {
				t.Errorf("r%d: tokens of another answer", i)
			}
		})
	}
	wg.Wait()
	p.requireFree(t)
}

func TestOversizePromptUsesGroup(t *testing.T) {
	p := newPool(t, 3)
	text, want, err := p.runPrompt(t, "archive", 9000, 20, waitLimit)
	require.ErrorIs(t, err, io.EOF)
	require.Equal(t, want, text)
	p.requireFree(t)
}

func TestGroupRetriedAfterLeadStreamCut(t *testing.T) {
	p := newPool(t, 3)
	p.setFaults(wire.EngineFaults{CutAfterTokens: 4})
	text, want, err := p.runPrompt(t, "archive", 9000, 20, waitLimit)
	require.ErrorIs(t, err, io.EOF)
	require.Equal(t, want, text)
	p.requireFree(t)
}

// TestGroupRetriedAfterMemberDied stops a member of the group that does not
// stream.
func TestGroupRetriedAfterMemberDied(t *testing.T) {
	p := newPool(t, 5)
	done := make(chan struct{})
	go func() {
		defer close(done)
		text, want, err := p.runPrompt(t, "archive", 9000, 1500, waitLimit)
		if !errors.Is(err, io.EOF) || text != want {
			t.Errorf("archive: %v", err)
		}
	}()
	member := p.waitForMember(t)
	member.Close()
	<-done
	for _, e := range p.engines {
		if e != member {
			require.Eventually(t, func() bool { return e.Free() == engineMemory }, waitLimit, 5*time.Millisecond)
		}
	}
}

// waitForMember waits until a group streams, and returns an engine that holds a
// share but does not stream.
func (p *pool) waitForMember(t *testing.T) *engine.Server {
	t.Helper()
	var found *engine.Server
	require.Eventually(t, func() bool {
		streams := false
		for _, e := range p.engines {
			streams = streams || len(e.Started()) > 0
			if len(e.Started()) == 0 && e.Free() < engineMemory {
				found = e
			}
		}
		return streams && found != nil
	}, waitLimit, time.Millisecond)
	return found
}

func TestConcurrentOversizePromptsComplete(t *testing.T) {
	p := newPool(t, 3)
	var wg sync.WaitGroup
	for i := range 4 {
		wg.Go(func() {
			text, want, err := p.runPrompt(t, fmt.Sprintf("archive%d", i), 9000, 20, waitLimit)
			if !errors.Is(err, io.EOF) || text != want {
				t.Errorf("archive%d: %v", i, err)
			}
		})
	}
	wg.Wait()
	p.requireFree(t)
}

func TestPromptTooLongForAllEndpointsIsRefused(t *testing.T) {
	p := newPool(t, 2)
	_, _, err := p.runPrompt(t, "archive", 9000, 20, waitLimit)
	require.True(t, errcode.Is(err, errcode.PromptTooLong))
	require.Equal(t, errcode.RanNo, errcode.From(err).Ran)
	require.Empty(t, p.engines[0].Started())
}

// TestRanNoMeansNothingStarted checks each failure with RanNo against the
// attempts that the engines recorded as started.
func TestRanNoMeansNothingStarted(t *testing.T) {
	p := newPool(t, 2)
	for i := range 30 {
		id := fmt.Sprintf("r%d", i)
		p.engines[0].SetFaults(wire.EngineFaults{Refuse: i%2 == 0, CutAfterTokens: 1 + i%3})
		p.engines[1].SetFaults(wire.EngineFaults{Refuse: i%3 == 0, Stall: i%5 == 0})
		_, _, err := p.runPrompt(t, id, 20, 6, 300*time.Millisecond)
		e := errcode.From(err)
		if errors.Is(err, io.EOF) || e.Ran != errcode.RanNo {
			continue
		}
		for _, s := range p.engines {
			for _, name := range s.Started() {
				require.False(t, strings.HasPrefix(name, id+"/"), name)
			}
		}
	}
	p.setFaults(wire.EngineFaults{Refuse: true})
	_, _, err := p.runPrompt(t, "refused", 20, 6, time.Second)
	require.Equal(t, errcode.RanNo, errcode.From(err).Ran)
	require.Positive(t, errcode.From(err).RetryAfter)
}
