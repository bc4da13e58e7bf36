package api

import (
	"encoding/json"
	"strings"

	"github.com/pkg/errors"

	"cornelsaddle.example/cornelsaddle/core/errcode"
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
}

// maxAssembledBytes bounds the text of an answer that is sent as one response body.
const maxAssembledBytes = 8 << 20

// add appends a chunk. It fails for one that can't be decoded, and for an answer over
// maxAssembledBytes.
func (a *assembler) add(data []byte) error {
	var c wire.Chunk
	if err := json.Unmarshal(data, &c); err != nil {
		return errors.WithStack(err)
	}
	for _, ch := range c.Choices {
		a.text.WriteString(ch.Text)
		if ch.Delta != nil {
			a.chat = true
			a.text.WriteString(ch.Delta.Content)
		}
	}
	a.lastChunk = c
	if a.text.Len() > maxAssembledBytes {
		return errcode.New(errcode.ResultTooLarge, "the answer is larger than %d bytes", maxAssembledBytes)
	}
	return nil
}

// encode returns the response body. The ID, the model, the usage and the finish
// reason are those of the last chunk.
func (a *assembler) encode() ([]byte, error) {
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
