package engine

import (
	"bufio"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cornelsaddle.example/cornelsaddle/core/wire"
)

// TestNoTokenBeforeIterationEnds guards against sending a token before the
// iteration that generates it has taken its time. The prompt of 2000 tokens is
// prefilled in one chunk, which takes 200 ms at 10 000 tokens a second.
func TestNoTokenBeforeIterationEnds(t *testing.T) {
	s, err := Start(Config{
		Address: "127.0.0.1:0",
		Model:   ModelConfig{MemoryTokens: 100_000, PrefillRate: 10_000, DecodeStep: time.Microsecond, PrefillChunkTokens: 4096},
	})
	require.NoError(t, err)
	defer s.Close()
	body := `{"prompt":"` + strings.Repeat("ash ", 2_000) + `","max_tokens":1,"stream":true}`
	start := time.Now()
	res, err := http.Post("http://"+s.Addr()+wire.PathCompletions, "application/json", strings.NewReader(body))
	require.NoError(t, err)
	defer func() { _ = res.Body.Close() }()
	_, err = bufio.NewReader(res.Body).ReadString('\n')
	require.NoError(t, err)
	require.GreaterOrEqual(t, time.Since(start), 200*time.Millisecond)
}
