package api

import (
	"encoding/json"
	"strings"

	"github.com/pkg/errors"

	"cornelsaddle.example/cornelsaddle/core/wire"
)

// completionResponse is the response body of a request that is not streamed.
type completionResponse struct {
	ID      string      `json:"id"`
	Object  string      `json:"object"`
	Model   string      `json:"model"`
	Choices []choice    `json:"choices"`
	Usage   *wire.Usage `json:"usage,omitempty"`
}

// choice has Text set for a completion and Message for a chat.
type choice struct {
	Index        int               `json:"index"`
	Text         *string           `json:"text,omitempty"`
	Message      *wire.ChatMessage `json:"message,omitempty"`
	FinishReason *string           `json:"finish_reason"`
}

// assembler joins the chunks of a stream into one response body.
type assembler struct {
	lastChunk wire.Chunk
	chat      bool
	text      strings.Builder
	err       error
}

// add appends a chunk. A chunk that can't be decoded makes encode fail.
func (a *assembler) add(data []byte) {
	var c wire.Chunk
	if err := json.Unmarshal(data, &c); err != nil {
		a.err = err
		return
	}
	for _, ch := range c.Choices {
		a.text.WriteString(ch.Text)
		if ch.Delta != nil {
			a.chat = true
			a.text.WriteString(ch.Delta.Content)
		}
	}
	a.lastChunk = c
}

// encode returns the response body. The ID, the model, the usage and the finish
// reason are those of the last chunk.
func (a *assembler) encode() ([]byte, error) {
	if a.err != nil {
		return nil, errors.WithStack(a.err)
	}
	text := a.text.String()
	c := choice{}
	object := "text_completion"
	if len(a.lastChunk.Choices) > 0 {
		c.FinishReason = a.lastChunk.Choices[0].FinishReason
	}
	if a.chat {
		object = "chat.completion"
		c.Message = &wire.ChatMessage{Role: "assistant", Content: text}
	} else {
		c.Text = &text
	}
	data, err := json.Marshal(completionResponse{a.lastChunk.ID, object, a.lastChunk.Model, []choice{c}, a.lastChunk.Usage})
	return data, errors.WithStack(err)
}
