package stream

import (
	"bytes"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func TestScannerFindsTheEndOfTheLastEvent(t *testing.T) {
	for piece, want := range map[string]int{
		"":                        0,
		"data: a":                 0,
		"data: a\n":               0,
		"data: a\n\n":             9,
		"data: a\n\ndata: b":      9,
		"data: a\r\n\r\n":         11,
		"data: a\r\r":             9,
		"data: a\r\rdata: b\r":    9,
		"data: a\n\r\n":           10,
		"data: a\r\n\n":           10,
		": note\n\n":              8,
		"\n\n":                    2,
		"data: a\n\ndata: b\n\nd": 18,
	} {
		require.Equal(t, want, new(Scanner).Scan([]byte(piece)), "%q", piece)
	}
}

func TestScannerTellsAnUnfinishedEvent(t *testing.T) {
	for piece, want := range map[string]bool{
		"":                       false,
		"d":                      true,
		"data: a\n":              true,
		"data: a\r":              true,
		"data: a\n\n":            false,
		"data: a\n\n:":           false,
		"data: a\n\n: note\n":    false,
		"data: a\n\n: note\nid":  true,
		"data: a\n\nid: 1\n: no": true,
		"data: a\r\n\r\n":        false,
	} {
		s := new(Scanner)
		s.Scan([]byte(piece))
		require.Equal(t, want, s.InEvent(), "%q", piece)
	}
}

func TestScannerTellsWhetherAnEventHasEnded(t *testing.T) {
	for piece, want := range map[string]bool{
		"":                   false,
		"\n\n":               false,
		": note\n\n":         false,
		"data: a\n":          false,
		"data: a\n\n":        true,
		"data: a\n\ndata: b": true,
	} {
		s := new(Scanner)
		s.Scan([]byte(piece))
		require.Equal(t, want, s.Ended(), "%q", piece)
	}
}

// TestScannerDeliversALateLineFeed checks that the LF of a line end that was split
// between two pieces completes the event by itself.
func TestScannerDeliversALateLineFeed(t *testing.T) {
	s := new(Scanner)
	require.Equal(t, 10, s.Scan([]byte("data: a\r\n\r")))
	require.Equal(t, 1, s.Scan([]byte("\n")))
	require.False(t, s.InEvent())
}

// naiveEvents returns the length of the complete events in the text and whether another
// one has begun, from the whole text at once.
func naiveEvents(text string) (int, bool) {
	end, begun, line := 0, false, 0
	for i := 0; i < len(text); {
		n := strings.IndexAny(text[i:], lineEnds)
		if n < 0 {
			return end, begun || text[line] != ':'
		}
		i += n
		if text[i] == '\r' && strings.HasPrefix(text[i:], "\r\n") {
			i++
		}
		i++
		switch {
		case strings.Trim(text[line:i], lineEnds) == "":
			end, begun = i, false
		case text[line] != ':':
			begun = true
		}
		line = i
	}
	return end, begun
}

// TestScannerAgainstTheWholeText cuts random texts into random pieces and compares the
// scanner with a naive one that sees the whole text.
func TestScannerAgainstTheWholeText(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		text := rapid.StringOfN(rapid.SampledFrom([]rune("a:\r\n")), 0, 40, -1).Draw(t, "text")
		s, end := new(Scanner), 0
		for at := 0; at < len(text); {
			n := rapid.IntRange(1, len(text)-at).Draw(t, "piece")
			if e := s.Scan([]byte(text[at : at+n])); e > 0 {
				end = at + e
			}
			at += n
		}
		wantEnd, wantInEvent := naiveEvents(text)
		require.Equal(t, wantEnd, end)
		require.Equal(t, wantInEvent, s.InEvent())
	})
}

func TestLines(t *testing.T) {
	var got []string
	for line := range Lines([]byte("id: 1\rdata: a\r\ndata: b\n\n")) {
		got = append(got, string(line))
	}
	require.Equal(t, []string{"id: 1", "data: a", "data: b"}, got)
}

func BenchmarkScanner(b *testing.B) {
	piece := []byte("id: 17\ndata: " + strings.Repeat("x", 50) + "\n\n")
	s := new(Scanner)
	for b.Loop() {
		if s.Scan(piece) != len(piece) {
			b.Fatal("event not found")
		}
	}
	b.SetBytes(int64(len(bytes.TrimSpace(piece))))
}
