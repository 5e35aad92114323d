package bench

import (
	"bufio"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/radishloom/radishloom/internal/protocol/inference"
	"github.com/radishloom/radishloom/internal/resultcode"
	standinengine "github.com/radishloom/radishloom/internal/standin/engine"
)

const (
	// maxOpenCalls bounds the goroutines of the load generator.
	maxOpenCalls = 4000
	callTimeout  = 15 * time.Second
)

// result is what a caller got.
type result struct {
	*request
	first  time.Duration // from the planned arrival to the first token or answer
	gap    time.Duration // mean time between tokens
	events int
	ended  bool // with an end marker, or with all of its bytes
	wrong  bool // looks whole and is not, or is not the answer to this request
	vmLost bool // its entry was lost while it was open
	code   resultcode.Code
	unsent bool
}

// attained says that the request met its profile's targets.
func (r *result) attained() bool {
	return r.ended && !r.wrong && r.code == 0 && r.first <= r.class.firstToken && r.gap <= r.class.gap
}

// caller sends the traffic.
type caller struct {
	fleet *fleet
	http  *http.Client
	start time.Time
}

// send sends all requests at their times and waits for the answers.
func (f *fleet) send(t traffic) []*result {
	transport := &http.Transport{MaxIdleConnsPerHost: 256, DisableCompression: true}
	defer transport.CloseIdleConnections()
	c := &caller{fleet: f, http: &http.Client{Transport: transport}, start: time.Now()}
	open := make(chan struct{}, maxOpenCalls)
	results := make([]*result, len(t.requests))
	var wg sync.WaitGroup
	for i, r := range t.requests {
		time.Sleep(time.Until(c.start.Add(r.at)))
		results[i] = &result{request: r}
		select {
		case open <- struct{}{}:
		default:
			results[i].unsent = true
			continue
		}
		wg.Go(func() {
			c.call(results[i])
			<-open
		})
	}
	wg.Wait()
	return results
}

func (c *caller) call(out *result) {
	v := c.fleet.at(out.entry)
	defer func() { out.vmLost = v.lost.Load() }()
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	resp, err := c.http.Do(c.newRequest(ctx, v, out.request))
	if err != nil {
		return
	}
	defer resp.Body.Close()
	code, _ := strconv.Atoi(resp.Header.Get(resultcode.Header))
	out.code = resultcode.Code(code)
	if resp.StatusCode != http.StatusOK {
		_, _ = io.Copy(io.Discard, resp.Body)
		return
	}
	if out.kind == modelRequest {
		c.readStream(out, resp.Body)
		return
	}
	c.readAnswer(out, resp.Body)
}

func (c *caller) newRequest(ctx context.Context, v *vm, r *request) *http.Request {
	method, path := http.MethodPost, "/v1/chat/completions"
	switch r.kind {
	case statusRequest:
		method, path = http.MethodGet, "/status/"+strconv.Itoa(r.seq)
	case confirmRequest:
		path = "/confirm/order"
	case modelRequest:
	}
	// The arguments are constants and a listener's address, so this cannot fail.
	q, _ := http.NewRequestWithContext(ctx, method, "http://"+v.address+path, strings.NewReader(r.body))
	q.Header.Set("Authorization", "Bearer "+c.fleet.keys[r.customer])
	q.Header.Set("Content-Type", "application/json")
	if r.kind == modelRequest {
		q.Header.Set(inference.HeaderRoute, r.route)
	}
	if r.key != "" {
		q.Header.Set("Idempotency-Key", r.key)
	}
	return q
}

// sinceArrival counts from the planned time, so that a late load generator does
// not hide waiting.
func (c *caller) sinceArrival(r *request) time.Duration { return time.Since(c.start) - r.at }

type chunk struct {
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
	} `json:"choices"`
	Error *struct {
		Code uint32 `json:"code"`
	} `json:"error"`
}

func (c *caller) readStream(out *result, body io.Reader) {
	text := standinengine.TextOf([]byte(out.body))
	var last time.Duration
	lines := bufio.NewScanner(body)
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			out.ended = true
			continue
		}
		var ch chunk
		if json.Unmarshal([]byte(data), &ch) != nil {
			out.wrong = true
			return
		}
		if ch.Error != nil {
			out.code = resultcode.Code(ch.Error.Code)
			return
		}
		if len(ch.Choices) == 0 || ch.Choices[0].Delta.Content == "" {
			continue
		}
		last = c.sinceArrival(out.request)
		if out.events == 0 {
			out.first = last
		}
		out.wrong = out.wrong || ch.Choices[0].Delta.Content != text(out.events)
		out.events++
	}
	if out.events > 1 {
		out.gap = (last - out.first) / time.Duration(out.events-1)
	}
	// Neither an end marker nor an error: the answer was cut.
	out.wrong = out.wrong || !out.ended || out.events != out.tokens
}

func (c *caller) readAnswer(out *result, body io.Reader) {
	data, err := io.ReadAll(body)
	out.first = c.sinceArrival(out.request)
	var seen struct {
		Target     string `json:"target"`
		BodySHA256 string `json:"body_sha256"`
	}
	sum := sha256.Sum256([]byte(out.body))
	err = errors.Join(err, json.Unmarshal(data, &seen))
	out.ended = err == nil
	out.wrong = err != nil || seen.BodySHA256 != hex.EncodeToString(sum[:]) ||
		out.kind == statusRequest && seen.Target != "/status/"+strconv.Itoa(out.seq)
}
