package inference

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"strings"

	"github.com/radishloom/radishloom/internal/resultcode"
)

const (
	// bytesPerToken estimates the tokens of a prompt. The final charge is the
	// engine's own count.
	bytesPerToken = 4
	// maxChoices bounds n, the number of completions of one prompt.
	maxChoices = 128
)

// document holds the fields of an inference request body that routing and
// admission need.
type document struct {
	model        string
	stream       bool
	maxTokens    int
	choices      int
	promptTokens int
	seen         map[string]bool
}

// outputTokens returns the maximum number of output tokens over all choices. A
// request without a maximum gets the fallback.
func (d *document) outputTokens(fallback int) int {
	out := d.maxTokens
	if out == 0 {
		out = fallback
	}
	return out * max(d.choices, 1)
}

// parseDocument parses one JSON object. It refuses a known field that occurs
// twice or in different letter case, because the engine might use the other
// value.
func parseDocument(body []byte) (*document, error) {
	d := &document{seen: make(map[string]bool, 4)}
	dec := json.NewDecoder(bytes.NewReader(body))
	if t, err := dec.Token(); err != nil || t != json.Delim('{') {
		return nil, badField("", "the request body is not a JSON object")
	}
	for dec.More() {
		t, err := dec.Token()
		if err != nil {
			return nil, badField("", "the request body is not valid JSON")
		}
		name, _ := t.(string)
		if err := d.decodeField(dec, name); err != nil {
			return nil, err
		}
	}
	if _, err := dec.Token(); err != nil {
		return nil, badField("", "the request body is not valid JSON")
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return nil, badField("", "the request body contains more than one JSON value")
	}
	if d.model == "" {
		return nil, badField("model", "required")
	}
	return d, nil
}

// decodeField decodes one top-level field.
func (d *document) decodeField(dec *json.Decoder, name string) error {
	if canonical := d.canonicalName(name); canonical != "" {
		if canonical != name || d.seen[canonical] {
			return badField(canonical, "duplicate field or wrong letter case")
		}
		d.seen[canonical] = true
	}
	var err error
	switch name {
	case "model":
		err = dec.Decode(&d.model)
	case "stream":
		err = dec.Decode(&d.stream)
	case "n":
		d.choices, err = decodeCount(dec)
	case "max_tokens", "max_completion_tokens":
		var n int
		n, err = decodeCount(dec)
		d.maxTokens = max(d.maxTokens, n)
	case "messages", "prompt":
		err = d.decodePrompt(dec)
	default:
		err = dec.Decode(&json.RawMessage{})
	}
	if err != nil {
		return badField(truncate(name), "wrong type or value")
	}
	if d.choices > maxChoices {
		return badField("n", "exceeds the maximum number of choices")
	}
	return nil
}

// canonicalName returns the known field that equals name ignoring case, or "".
func (d *document) canonicalName(name string) string {
	for _, k := range []string{"model", "stream", "n", "max_tokens", "max_completion_tokens", "messages", "prompt"} {
		if strings.EqualFold(k, name) {
			return k
		}
	}
	return ""
}

// decodePrompt adds the estimated tokens of a prompt: one for each number in a
// list of token IDs, otherwise an estimate by length.
func (d *document) decodePrompt(dec *json.Decoder) error {
	var raw json.RawMessage
	if err := dec.Decode(&raw); err != nil {
		return err
	}
	if len(raw) > 1 && raw[0] == '[' && strings.IndexByte("0123456789", raw[1]) >= 0 {
		d.promptTokens += bytes.Count(raw, []byte{','}) + 1
		return nil
	}
	d.promptTokens += len(raw)/bytesPerToken + 1
	return nil
}

// decodeCount decodes a positive integer. Null yields zero.
func decodeCount(dec *json.Decoder) (int, error) {
	const limit = 1 << 24
	var n *int
	if err := dec.Decode(&n); err != nil {
		return 0, err
	}
	if n == nil {
		return 0, nil
	}
	if *n <= 0 || *n > limit {
		return 0, errors.New("out of range")
	}
	return *n, nil
}

func badField(name, what string) error {
	if name == "" {
		return resultcode.New(resultcode.BadRequest, "%s", what)
	}
	return resultcode.New(resultcode.BadRequest, "field %q: %s", name, what)
}
