package demo

import (
	"context"
	"io"
	"net/http"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// options returns the options of a short run that ends after the tables.
func options(deployment string, out io.Writer) Options {
	opts := DefaultOptions()
	opts.Deployment = deployment
	opts.Once = true
	opts.WarmUp = 100 * time.Millisecond
	opts.ShortOnly = 300 * time.Millisecond
	opts.ShortAndMedium = 300 * time.Millisecond
	opts.AllClasses = 700 * time.Millisecond
	opts.Out = out
	return opts
}

func TestEveryDeploymentAnswersItsSampleLoad(t *testing.T) {
	for _, name := range Names() {
		t.Run(name, func(t *testing.T) {
			var out strings.Builder
			require.NoError(t, Run(context.Background(), options(name, &out)))
			d, err := Lookup(name)
			require.NoError(t, err)
			for _, o := range d.Organisations {
				require.Contains(t, out.String(), o.Name)
			}
			require.Contains(t, out.String(), "Time to first token in ms")
			require.Regexp(t, `with medium and long ones ÷ alone +\d`, out.String())
			require.Contains(t, out.String(), " 0 broken, 0 wrong")
			require.NotContains(t, out.String(), "curl")
		})
	}
}

// chanWriter sends each write to the channel.
type chanWriter chan string

func (l chanWriter) Write(p []byte) (int, error) {
	l <- string(p)
	return len(p), nil
}

func TestDemoServesUntilCancelled(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	out := make(chanWriter)
	opts := options("kivukoni", out)
	opts.Once = false
	result := make(chan error, 1)
	go func() {
		defer close(out)
		result <- Run(ctx, opts)
	}()
	sent := false
	for text := range out {
		if !strings.Contains(text, "curl -N") {
			continue
		}
		require.Contains(t, sendPrinted(t, text), "data: [DONE]")
		sent = true
		cancel()
	}
	require.NoError(t, <-result)
	require.True(t, sent)
}

// sendPrinted sends the request of the printed curl command and returns the
// body of the answer.
func sendPrinted(t *testing.T, text string) string {
	t.Helper()
	line := regexp.MustCompile(`(?s)curl -N (\S+) -H 'Authorization: ([^']+)'.*?-d '([^']+)'`).FindStringSubmatch(text)
	require.Len(t, line, 4, text)
	req, err := http.NewRequest(http.MethodPost, line[1], strings.NewReader(line[3]))
	require.NoError(t, err)
	req.Header.Set("Authorization", line[2])
	res, err := http.DefaultClient.Do(req)
	require.NoError(t, err)
	defer func() { _ = res.Body.Close() }()
	data, err := io.ReadAll(res.Body)
	require.NoError(t, err)
	return string(data)
}

func TestUnknownDeployment(t *testing.T) {
	err := Run(context.Background(), options("elsewhere", io.Discard))
	var unknown *UnknownDeploymentError
	require.ErrorAs(t, err, &unknown)
	require.Equal(t, Names(), unknown.Known)
}
