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
	// maxOpenCalls bounds the goroutines of the load generator. Requests beyond it
	// are not sent and count as unsent.
	maxOpenCalls = 4000
	callTimeout  = 15 * time.Second
)

// result is the outcome of one request as its caller sees it.
type result struct {
	*request
	firstToken time.Duration // from the planned arrival to the first token, or to the end of a service response
	tokenGap   time.Duration // mean time between tokens
	events     int
	complete   bool // received the end marker, or all bytes of the body
	wrong      bool // truncated without an error event, or not the response to this request
	vmLost     bool // its entry VM was lost while the request was open
	code       resultcode.Code
	unsent     bool
}

// attained reports whether the request met the targets of its profile.
func (r *result) attained() bool {
	return r.complete && !r.wrong && r.code == 0 && r.firstToken <= r.profile.firstToken && r.tokenGap <= r.profile.tokenGap
}

// loadGenerator sends the requests of a run over HTTP.
type loadGenerator struct {
	fleet *fleet
	http  *http.Client
	start time.Time
}

// sendTraffic sends all requests at their planned times, regardless of earlier
// responses (open loop), and waits for the results.
func (f *fleet) sendTraffic(t traffic) []*result {
	transport := &http.Transport{MaxIdleConnsPerHost: 256, DisableCompression: true}
	defer transport.CloseIdleConnections()
	c := &loadGenerator{fleet: f, http: &http.Client{Transport: transport}, start: time.Now()}
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

func (c *loadGenerator) call(out *result) {
	v := c.fleet.liveEntry(out.entry)
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
	c.readResponse(out, resp.Body)
}

func (c *loadGenerator) newRequest(ctx context.Context, v *vm, r *request) *http.Request {
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

// sinceArrival counts from the planned arrival time, so that delays of the load
// generator do not hide waiting time (coordinated omission).
func (c *loadGenerator) sinceArrival(r *request) time.Duration { return time.Since(c.start) - r.at }

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

func (c *loadGenerator) readStream(out *result, body io.Reader) {
	text := standinengine.TextOf([]byte(out.body))
	var last time.Duration
	lines := bufio.NewScanner(body)
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			out.complete = true
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
			out.firstToken = last
		}
		out.wrong = out.wrong || ch.Choices[0].Delta.Content != text(out.events)
		out.events++
	}
	if out.events > 1 {
		out.tokenGap = (last - out.firstToken) / time.Duration(out.events-1)
	}
	// A stream with neither an end marker nor an error was truncated.
	out.wrong = out.wrong || !out.complete || out.events != out.outputTokens
}

func (c *loadGenerator) readResponse(out *result, body io.Reader) {
	data, err := io.ReadAll(body)
	out.firstToken = c.sinceArrival(out.request)
	var seen struct {
		Target     string `json:"target"`
		BodySHA256 string `json:"body_sha256"`
	}
	sum := sha256.Sum256([]byte(out.body))
	err = errors.Join(err, json.Unmarshal(data, &seen))
	out.complete = err == nil
	out.wrong = err != nil || seen.BodySHA256 != hex.EncodeToString(sum[:]) ||
		out.kind == statusRequest && seen.Target != "/status/"+strconv.Itoa(out.seq)
}
