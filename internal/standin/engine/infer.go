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

// inferenceRequest is an inference request over HTTP.
type inferenceRequest struct {
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
	req := &inferenceRequest{engine: e, w: w, r: r, id: r.Header.Get(exchange.HeaderRequestID), chat: strings.HasSuffix(r.URL.Path, "chat/completions")}
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes))
	if err != nil {
		return
	}
	req.body = body
	e.recordRequest(r, body)
	if json.Unmarshal(body, &req.doc) != nil || req.doc.Model == "" {
		req.setRequestID(Faults{})
		writeError(w, http.StatusBadRequest, "bad_request", true)
		return
	}
	req.faults = e.takeFaults(body)
	e.mu.Lock()
	e.counters.received[req.id]++
	e.mu.Unlock()
	req.serve()
}

func (req *inferenceRequest) serve() {
	f := req.faults
	switch {
	case f.Refuse:
		req.setRequestID(f)
		writeError(req.w, http.StatusServiceUnavailable, "overloaded", true)
		return
	case f.Ignore:
		<-req.r.Context().Done()
		return
	}
	if kind, status := req.start(); kind != "" {
		req.setRequestID(f)
		// A conflict means that a request with this identifier has already run.
		writeError(req.w, status, kind, status != http.StatusConflict)
		return
	}
	if f.RefuseUnnamed {
		req.awaitStart()
		writeError(req.w, http.StatusServiceUnavailable, "overloaded", true)
		return
	}
	if f.CrashMark != "" && strings.Contains(string(req.body), f.CrashMark) {
		req.awaitStart()
		req.engine.Crash()
		panic(http.ErrAbortHandler)
	}
	if req.doc.Stream {
		req.engine.streamRun(req.w, req.r, req.run, 0, f)
		return
	}
	req.respondWhole()
}

// awaitStart blocks until the request is in the batch or has finished.
func (req *inferenceRequest) awaitStart() {
	for {
		req.run.mu.Lock()
		ready := req.run.started || req.run.finished
		req.run.mu.Unlock()
		if ready {
			return
		}
		time.Sleep(time.Millisecond)
	}
}

// start queues the run, or returns the kind and status of its refusal.
func (req *inferenceRequest) start() (kind string, status int) {
	e := req.engine
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.leaving {
		return "leaving", http.StatusServiceUnavailable
	}
	_, adapter, ok := e.resolveModel(req.doc.Model)
	if !ok {
		return "model_not_resident", http.StatusServiceUnavailable
	}
	if e.runs[req.id] != nil && req.id != "" {
		return "request_id_in_use", http.StatusConflict
	}
	req.run = newRun(req.id)
	req.run.idempotencyKey = req.r.Header.Get(exchange.HeaderIdempotencyKey)
	req.run.priority, _ = strconv.Atoi(req.r.Header.Get(exchange.HeaderPriority))
	req.run.stream, req.run.chat, req.run.model = req.doc.Stream, req.chat, req.doc.Model
	req.run.target = req.doc.MaxTokens
	if req.run.target <= 0 {
		req.run.target = defaultTokens
	}
	req.run.text = TextOf(req.body)
	if req.faults.WrongID {
		req.run.text = TextOf([]byte("other"))
	}
	req.run.prefill = req.prefill(adapter)
	if !e.submit(req.run) {
		return "queue_full", http.StatusTooManyRequests
	}
	return "", 0
}

// prefill returns the time until the first token: the load of an adapter, and
// the prompt unless it is cached. Callers hold the engine's mu.
func (req *inferenceRequest) prefill(adapter string) time.Duration {
	e := req.engine
	var out time.Duration
	if adapter != "" && !e.adapters[adapter] {
		e.adapters[adapter] = true
		out += e.config.AdapterLoadTime
	}
	_, imported := e.kv[req.id]
	req.cached = e.cachePrefix(req.body) || imported
	if !req.cached {
		out += time.Duration(req.promptTokens()) * e.config.PromptTokenTime
	}
	return out
}

func (req *inferenceRequest) promptTokens() int {
	return (len(req.doc.Messages)+len(req.doc.Prompt))/bytesPerToken + 1
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

// setRequestID sets the request identifier header of the response.
func (req *inferenceRequest) setRequestID(f Faults) { setRequestIDHeader(req.w, req.id, f) }

// setRequestIDHeader sets the request identifier header of a response. The fault
// NoID omits the identifier, and WrongID falsifies it.
func setRequestIDHeader(w http.ResponseWriter, id string, f Faults) {
	switch {
	case f.NoID || id == "":
	case f.WrongID:
		w.Header().Set(exchange.HeaderRequestID, "other-"+id)
	default:
		w.Header().Set(exchange.HeaderRequestID, id)
	}
}

// setIncarnation sets the header that names this incarnation of the engine.
func (e *Engine) setIncarnation(w http.ResponseWriter) {
	e.mu.Lock()
	defer e.mu.Unlock()
	w.Header().Set(exchange.HeaderIncarnation, e.incarnation)
}

// respondWhole waits for the run and sends the complete response. While it
// waits, it sends informational responses as heartbeats.
func (req *inferenceRequest) respondWhole() {
	ctx := req.r.Context()
	lastHeartbeat := time.Now()
	for n := 0; ; {
		generated, finished := req.run.wait(ctx, n)
		if finished {
			break
		}
		if ctx.Err() != nil {
			req.run.stop() // a response that is not streamed cannot be resumed
			return
		}
		n = generated
		if time.Since(lastHeartbeat) >= req.engine.config.Heartbeat {
			req.w.WriteHeader(http.StatusProcessing)
			lastHeartbeat = time.Now()
		}
	}
	if req.run.wasCancelled() || req.faults.LoseAnswer {
		panic(http.ErrAbortHandler)
	}
	if req.faults.Late > 0 {
		time.Sleep(req.faults.Late)
	}
	body := req.responseBody()
	req.setRequestID(req.faults)
	req.w.Header().Set("Content-Type", "application/json")
	if req.faults.NoLength || req.faults.Extra {
		req.respondRaw(body)
		return
	}
	req.w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	if cut := req.faults.CutBody; cut > 0 {
		_, _ = req.w.Write(body[:min(cut, len(body)-1)])
		_ = http.NewResponseController(req.w).Flush()
		panic(http.ErrAbortHandler)
	}
	_, _ = req.w.Write(body)
}

// respondRaw bypasses net/http to send a close-delimited body, or the response
// twice.
func (req *inferenceRequest) respondRaw(body []byte) {
	c, _, err := http.NewResponseController(req.w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer c.Close() // a close error does not matter after the response
	head := "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nX-Request-Id: " + req.id + "\r\n"
	if req.faults.NoLength {
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
func (req *inferenceRequest) responseBody() []byte {
	var text strings.Builder
	for i := range req.run.target {
		text.WriteString(req.run.text(i))
	}
	choice := map[string]any{"index": 0, "finish_reason": "length"}
	object := "text_completion"
	if req.chat {
		object = "chat.completion"
		choice["message"] = map[string]string{"role": "assistant", "content": text.String()}
	} else {
		choice["text"] = text.String()
	}
	out, err := json.Marshal(map[string]any{
		"id": req.id, "object": object, "created": 0, "model": req.doc.Model, "choices": []any{choice},
		"usage": map[string]int{
			"prompt_tokens": req.promptTokens(), "completion_tokens": req.run.target,
			"total_tokens": req.promptTokens() + req.run.target,
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
