package engine

import (
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/radishloom/radishloom/internal/coordination/exchange"
)

const (
	maxBodyBytes = 64 << 20
	// defaultTokens is the number of tokens generated if a request sets no
	// max_tokens.
	defaultTokens = 16
	bytesPerToken = 4
)

// infer is an inference request over HTTP.
type infer struct {
	engine *Engine
	w      http.ResponseWriter
	r      *http.Request
	id     string
	chat   bool
	body   []byte
	doc    inferDocument
	faults Faults
	run    *run
	cached bool
}

type inferDocument struct {
	Model     string          `json:"model"`
	Stream    bool            `json:"stream"`
	MaxTokens int             `json:"max_tokens"`
	Messages  json.RawMessage `json:"messages"`
	Prompt    json.RawMessage `json:"prompt"`
}

// serveInference handles chat completions and completions.
func (e *Engine) serveInference(w http.ResponseWriter, r *http.Request) {
	q := &infer{engine: e, w: w, r: r, id: r.Header.Get(exchange.HeaderRequestID), chat: strings.HasSuffix(r.URL.Path, "chat/completions")}
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes))
	if err != nil {
		return
	}
	q.body = body
	e.recordRequest(r, body)
	if json.Unmarshal(body, &q.doc) != nil || q.doc.Model == "" {
		q.echo(Faults{})
		writeError(w, http.StatusBadRequest, "bad_request", true)
		return
	}
	q.faults = e.takeFaults(body)
	e.mu.Lock()
	e.counters.received[q.id]++
	e.mu.Unlock()
	q.serve()
}

func (q *infer) serve() {
	f := q.faults
	switch {
	case f.Refuse:
		q.echo(f)
		writeError(q.w, http.StatusServiceUnavailable, "overloaded", true)
		return
	case f.Ignore:
		<-q.r.Context().Done()
		return
	}
	if kind, status := q.start(); kind != "" {
		q.echo(f)
		// A conflict means that a request with this identifier has already run.
		writeError(q.w, status, kind, status != http.StatusConflict)
		return
	}
	if f.RefuseUnnamed {
		q.awaitStart()
		writeError(q.w, http.StatusServiceUnavailable, "overloaded", true)
		return
	}
	if f.CrashMark != "" && strings.Contains(string(q.body), f.CrashMark) {
		q.awaitStart()
		q.engine.Crash()
		panic(http.ErrAbortHandler)
	}
	if q.doc.Stream {
		q.engine.streamRun(q.w, q.r, q.run, 0, f)
		return
	}
	q.respondWhole()
}

// awaitStart blocks until the request is in the batch or has finished.
func (q *infer) awaitStart() {
	for {
		q.run.mu.Lock()
		ready := q.run.started || q.run.finished
		q.run.mu.Unlock()
		if ready {
			return
		}
		time.Sleep(time.Millisecond)
	}
}

// start queues the run, or returns the kind and status of its refusal.
func (q *infer) start() (kind string, status int) {
	e := q.engine
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.leaving {
		return "leaving", http.StatusServiceUnavailable
	}
	_, adapter, ok := e.resolveModel(q.doc.Model)
	if !ok {
		return "model_not_resident", http.StatusServiceUnavailable
	}
	if e.runs[q.id] != nil && q.id != "" {
		return "request_id_in_use", http.StatusConflict
	}
	q.run = newRun(q.id)
	q.run.idempotencyKey = q.r.Header.Get(exchange.HeaderIdempotencyKey)
	q.run.priority, _ = strconv.Atoi(q.r.Header.Get(exchange.HeaderPriority))
	q.run.stream, q.run.chat, q.run.model = q.doc.Stream, q.chat, q.doc.Model
	q.run.target = q.doc.MaxTokens
	if q.run.target <= 0 {
		q.run.target = defaultTokens
	}
	q.run.text = TextOf(q.body)
	if q.faults.WrongID {
		q.run.text = TextOf([]byte("other"))
	}
	q.run.prefill = q.prefill(adapter)
	if !e.submit(q.run) {
		return "queue_full", http.StatusTooManyRequests
	}
	return "", 0
}

// prefill returns the time until the first token: the load of an adapter, and
// the prompt unless it is cached. Callers hold the engine's mu.
func (q *infer) prefill(adapter string) time.Duration {
	e := q.engine
	var out time.Duration
	if adapter != "" && !e.adapters[adapter] {
		e.adapters[adapter] = true
		out += e.config.AdapterLoadTime
	}
	_, imported := e.kv[q.id]
	q.cached = e.cachePrefix(q.body) || imported
	if !q.cached {
		out += time.Duration(q.promptTokens()) * e.config.PromptTokenTime
	}
	return out
}

func (q *infer) promptTokens() int {
	return (len(q.doc.Messages)+len(q.doc.Prompt))/bytesPerToken + 1
}

// TextOf returns the tokens that the engine generates for a body. They depend on
// the body, so that tests can tell which request a response belongs to.
func TextOf(body []byte) func(i int) string {
	var sum [8]byte
	h := xxhash.Sum64(body)
	for i := range sum {
		sum[i] = byte(h >> (8 * i))
	}
	prefix := hex.EncodeToString(sum[:4])
	return func(i int) string { return prefix + "." + strconv.Itoa(i) + " " }
}

// echo sets the request identifier of the response.
func (q *infer) echo(f Faults) { echo(q.w, q.id, f) }

func echo(w http.ResponseWriter, id string, f Faults) {
	switch {
	case f.NoID || id == "":
	case f.WrongID:
		w.Header().Set(exchange.HeaderRequestID, "other-"+id)
	default:
		w.Header().Set(exchange.HeaderRequestID, id)
	}
}

// respondWhole waits for the run and sends the complete response. While it
// waits, it sends informational responses as heartbeats.
func (q *infer) respondWhole() {
	ctx := q.r.Context()
	lastHeartbeat := time.Now()
	for n := 0; ; {
		generated, finished := q.run.wait(ctx, n)
		if finished {
			break
		}
		if ctx.Err() != nil {
			q.run.stop() // a response that is not streamed cannot be resumed
			return
		}
		n = generated
		if time.Since(lastHeartbeat) >= q.engine.config.Heartbeat {
			q.w.WriteHeader(http.StatusProcessing)
			lastHeartbeat = time.Now()
		}
	}
	if q.run.wasCancelled() || q.faults.LoseAnswer {
		panic(http.ErrAbortHandler)
	}
	if q.faults.Late > 0 {
		time.Sleep(q.faults.Late)
	}
	body := q.responseBody()
	q.echo(q.faults)
	q.w.Header().Set("Content-Type", "application/json")
	if q.faults.NoLength || q.faults.Extra {
		q.respondRaw(body)
		return
	}
	q.w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	if cut := q.faults.CutBody; cut > 0 {
		_, _ = q.w.Write(body[:min(cut, len(body)-1)])
		_ = http.NewResponseController(q.w).Flush()
		panic(http.ErrAbortHandler)
	}
	_, _ = q.w.Write(body)
}

// respondRaw bypasses net/http to send a close-delimited body, or the response
// twice.
func (q *infer) respondRaw(body []byte) {
	c, _, err := http.NewResponseController(q.w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer c.Close() // a close error does not matter after the response
	head := "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nX-Request-Id: " + q.id + "\r\n"
	if q.faults.NoLength {
		_, _ = fmt.Fprintf(c, "%s\r\n%s", head, body)
		return
	}
	one := fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, len(body), body)
	_, _ = io.WriteString(c, one)
	// The pause lets the receiver read the first response before the second
	// arrives.
	time.Sleep(5 * time.Millisecond)
	_, _ = io.WriteString(c, one)
	_, _ = io.Copy(io.Discard, c)
}

// responseBody returns the completion as JSON.
func (q *infer) responseBody() []byte {
	var text strings.Builder
	for i := range q.run.target {
		text.WriteString(q.run.text(i))
	}
	choice := map[string]any{"index": 0, "finish_reason": "length"}
	object := "text_completion"
	if q.chat {
		object = "chat.completion"
		choice["message"] = map[string]string{"role": "assistant", "content": text.String()}
	} else {
		choice["text"] = text.String()
	}
	out, err := json.Marshal(map[string]any{
		"id": q.id, "object": object, "created": 0, "model": q.doc.Model, "choices": []any{choice},
		"usage": map[string]int{
			"prompt_tokens": q.promptTokens(), "completion_tokens": q.run.target,
			"total_tokens": q.promptTokens() + q.run.target,
		},
	})
	if err != nil {
		panic(errors.Join(http.ErrAbortHandler, err))
	}
	return out
}

// writeError responds with a JSON error. With notRun it adds the header that says
// that the request was not run.
func writeError(w http.ResponseWriter, status int, kind string, notRun bool) {
	if notRun {
		w.Header().Set(exchange.HeaderRunState, exchange.RunStateNotRun)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = fmt.Fprintf(w, `{"error":{"message":%q,"type":%q}}`, kind, kind)
}
