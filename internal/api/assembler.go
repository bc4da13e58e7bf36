package api

import (
	"encoding/json"
	"strings"

	"github.com/pkg/errors"

	"cornelsaddle.example/cornelsaddle/core/wire"
)

// completion is a whole answer.
type completion struct {
	ID      string      `json:"id"`
	Object  string      `json:"object"`
	Model   string      `json:"model"`
	Choices []choice    `json:"choices"`
	Usage   *wire.Usage `json:"usage,omitempty"`
}

// choice holds Text for completions, Message for chats.
type choice struct {
	Index        int               `json:"index"`
	Text         *string           `json:"text,omitempty"`
	Message      *wire.ChatMessage `json:"message,omitempty"`
	FinishReason *string           `json:"finish_reason"`
}

// assembler joins the chunks of a stream into a whole answer.
type assembler struct {
	last wire.Chunk
	chat bool
	text strings.Builder
	err  error
}

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
	a.last = c
}

func (a *assembler) encode() ([]byte, error) {
	if a.err != nil {
		return nil, errors.WithStack(a.err)
	}
	text := a.text.String()
	c := choice{}
	object := "text_completion"
	if len(a.last.Choices) > 0 {
		c.FinishReason = a.last.Choices[0].FinishReason
	}
	if a.chat {
		object = "chat.completion"
		c.Message = &wire.ChatMessage{Role: "assistant", Content: text}
	} else {
		c.Text = &text
	}
	data, err := json.Marshal(completion{a.last.ID, object, a.last.Model, []choice{c}, a.last.Usage})
	return data, errors.WithStack(err)
}
