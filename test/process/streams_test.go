package process_test

import (
	"bufio"
	"encoding/json"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cornelsaddle.example/cornelsaddle/core/wire"
	"cornelsaddle.example/cornelsaddle/standin/engine"
)

// getJSON decodes the JSON response to a GET into v. It returns false if the
// request or the decoding fails.
func getJSON(address, path string, v any) bool {
	res, err := http.Get("http://" + address + path)
	if err != nil {
		return false
	}
	defer func() { _ = res.Body.Close() }()
	return json.NewDecoder(res.Body).Decode(v) == nil
}

// requireMemoryReleased waits until all KV memory of the engines is free and no
// reservation is left.
func requireMemoryReleased(t *testing.T, engines []string) {
	t.Helper()
	require.Eventually(t, func() bool {
		for _, address := range engines {
			var load wire.LoadReport
			var reservations wire.ReservationList
			if !getJSON(address, wire.PathEngineLoad, &load) || !getJSON(address, wire.PathReservations, &reservations) {
				return false
			}
			if load.FreeTokens != load.TotalTokens || len(reservations.Reservations) > 0 {
				return false
			}
		}
		return true
	}, waitTimeout, 20*time.Millisecond)
}

// reservationCount returns the total number of reservations at the engines.
func reservationCount(t *testing.T, engines []string) int {
	t.Helper()
	n := 0
	for _, address := range engines {
		var list wire.ReservationList
		require.True(t, getJSON(address, wire.PathReservations, &list))
		n += len(list.Reservations)
	}
	return n
}

// startedEngine returns the index of the engine that started the request.
func startedEngine(t *testing.T, engines []string, request string) int {
	t.Helper()
	for i, address := range engines {
		var list wire.StartedList
		require.True(t, getJSON(address, wire.PathStarted, &list))
		for _, name := range list.Started {
			if strings.HasPrefix(name, request+"/") {
				return i
			}
		}
	}
	require.Fail(t, "no engine has started the request")
	return -1
}

func TestOversizePromptsAndCrashes(t *testing.T) {
	s := startSystem(t)

	t.Run("an oversize prompt is served by a group of engines", func(t *testing.T) {
		req := prompt(0)
		req.Prompt = strings.Repeat("guild archive entry ", 200_000)
		res := post(t, s.callers[0], wire.PathCompletions, "", req)
		require.Equal(t, http.StatusOK, res.StatusCode)
		text, complete := readStream(t, res.Body)
		require.True(t, complete)
		require.Equal(t, engine.AnswerText(req.Prompt, answerTokens), text)
		requireMemoryReleased(t, s.engines)
	})

	t.Run("a VM dies while it holds a group", func(t *testing.T) {
		const last = entryVMCount - 1
		req := prompt(3)
		req.Prompt = strings.Repeat("donor collection page ", 150_000)
		req.MaxTokens = 3000
		res := post(t, s.callers[last], wire.PathCompletions, "", req)
		require.Equal(t, http.StatusOK, res.StatusCode)
		require.Positive(t, reservationCount(t, s.engines))
		require.NoError(t, s.vms[last].cmd.Process.Kill())
		<-s.vms[last].done
		_, complete := readStream(t, res.Body)
		require.False(t, complete)
		require.Positive(t, reservationCount(t, s.engines))
		// The next incarnation proves that the previous one has ended, so that
		// its reservations can be released.
		s.startVM(t, build(t, "cornelsaddle.example/cornelsaddle/cmd/cornelsaddle"), t.TempDir(), s.platform, last)
		requireMemoryReleased(t, s.engines)
	})

	t.Run("an engine dies in the middle of an answer", func(t *testing.T) {
		const maxTokens = 1500
		req := prompt(1)
		req.MaxTokens = maxTokens
		res := post(t, s.callers[1], wire.PathCompletions, "", req)
		require.Equal(t, http.StatusOK, res.StatusCode)
		body := bufio.NewReader(res.Body)
		_, err := body.Peek(1)
		require.NoError(t, err)
		i := startedEngine(t, s.engines, res.Header.Get(wire.HeaderRequestID))
		require.NoError(t, s.engineProcesses[i].cmd.Process.Kill())
		text, complete := readStream(t, body)
		require.True(t, complete)
		require.Equal(t, engine.AnswerText(req.Prompt, maxTokens), text)
		s.engines = append(s.engines[:i], s.engines[i+1:]...)
		requireMemoryReleased(t, s.engines)
	})

	t.Run("an oversize prompt is served by the remaining engines", func(t *testing.T) {
		req := prompt(2)
		req.Prompt = strings.Repeat("season logbook page ", 120_000)
		res := post(t, s.callers[2], wire.PathCompletions, "", req)
		require.Equal(t, http.StatusOK, res.StatusCode)
		text, complete := readStream(t, res.Body)
		require.True(t, complete)
		require.Equal(t, engine.AnswerText(req.Prompt, answerTokens), text)
		requireMemoryReleased(t, s.engines)
	})
}
