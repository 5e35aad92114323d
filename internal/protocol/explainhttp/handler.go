// Package explainhttp lets an operator ask an entry where a request would go now, and
// why, without sending it.
package explainhttp

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/radishloom/radishloom/internal/coordination/forward"
	"github.com/radishloom/radishloom/internal/coordination/pool"
	"github.com/radishloom/radishloom/internal/resultcode"
)

// Path is the path of the explanation.
const Path = "/explain"

const (
	// maxCandidates bounds the endpoints of an answer.
	maxCandidates = 64
	// maxNumber bounds the numbers of a question.
	maxNumber = 100_000_000
)

// Entry explains decisions.
type Entry interface {
	Explain(r forward.ExplainRequest) (forward.Explanation, error)
}

// Answer is the JSON answer. Costs are in requests.
type Answer struct {
	Entry  string `json:"entry"`
	Broker string `json:"broker"`
	// OwnView is set if another entry decides: what follows is by the state of the
	// entry that was asked.
	OwnView  bool   `json:"own_view"`
	Route    string `json:"route"`
	Service  string `json:"service"`
	Catalog  uint64 `json:"catalog_version"`
	StateAge int64  `json:"state_age_ms"`
	Draining bool   `json:"draining"`
	// Outcome is sent, waits or refused.
	Outcome string `json:"outcome"`
	// WaitsFor is what no endpoint has for the request.
	WaitsFor   string `json:"waits_for,omitempty"`
	LongestMS  int64  `json:"longest_wait_ms"`
	Ahead      int    `json:"waiting_ahead"`
	Code       uint32 `json:"code,omitempty"`
	CodeName   string `json:"code_name,omitempty"`
	RetryMinMS int64  `json:"retry_after_min_ms,omitempty"`
	RetryMaxMS int64  `json:"retry_after_max_ms,omitempty"`
	// Total is the number of endpoints of the service; Candidates has the first ones.
	Total      int         `json:"total"`
	Candidates []Candidate `json:"candidates"`
}

// Candidate is an endpoint of the service.
type Candidate struct {
	Endpoint    string `json:"endpoint"`
	DataCentre  string `json:"data_centre"`
	Obstacle    string `json:"obstacle,omitempty"`
	AvailableMS int64  `json:"available_in_ms,omitempty"`
	// Cost is the sum of the terms without Random, which is the upper end of the
	// random term.
	Cost           float64 `json:"cost"`
	Work           float64 `json:"work"`
	Slowdown       float64 `json:"slowdown"`
	DataCentreCost float64 `json:"data_centre_cost"`
	Preference     float64 `json:"preference"`
	Affinity       float64 `json:"affinity"`
	Random         float64 `json:"random"`
}

// New returns the handler of GET Path.
func New(e Entry) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method != http.MethodGet {
			w.Header().Set("Allow", http.MethodGet)
			http.Error(w, "allowed: GET", http.StatusMethodNotAllowed)
			return
		}
		question, err := parse(r.URL.RawQuery)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		x, err := e.Explain(question)
		var bad *forward.ExplainError
		switch {
		case errors.As(err, &bad):
			http.Error(w, err.Error(), http.StatusBadRequest)
		case err != nil:
			http.Error(w, err.Error(), resultcode.Of(err).Info().Status)
		default:
			w.Header().Set("Content-Type", "application/json")
			_ = json.NewEncoder(w).Encode(answer(&x)) // the operator asks again if the response is lost
		}
	})
}

func parse(query string) (forward.ExplainRequest, error) {
	var r forward.ExplainRequest
	values, err := url.ParseQuery(query)
	if err != nil {
		return r, fmt.Errorf("the query is not encoded correctly: %w", err)
	}
	texts := map[string]*string{"route": &r.Route, "service": &r.Service, "model": &r.Model, "adapter": &r.Adapter, "customer": &r.Customer}
	deadline := 0
	numbers := map[string]*int{"prompt": &r.PromptTokens, "output": &r.OutputTokens, "deadline_ms": &deadline}
	for name := range values {
		value := values.Get(name)
		switch {
		case texts[name] != nil:
			*texts[name] = value
		case numbers[name] != nil:
			n, err := strconv.Atoi(value)
			if err != nil || n < 0 || n > maxNumber {
				return r, fmt.Errorf("%s = %q: allowed: 0 to %d", name, value, maxNumber)
			}
			*numbers[name] = n
		default:
			return r, fmt.Errorf("unknown parameter %q", name)
		}
	}
	r.Deadline = time.Duration(deadline) * time.Millisecond
	return r, nil
}

func answer(x *forward.Explanation) *Answer {
	out := &Answer{
		Entry: x.Self, Broker: x.Broker, OwnView: x.Self != x.Broker, Route: x.Route, Service: x.Service, Catalog: x.Catalog,
		StateAge: x.StateAge.Milliseconds(), Draining: x.Draining, Outcome: "sent", LongestMS: x.Wait.Milliseconds(), Ahead: x.Ahead,
		Total: len(x.Candidates), Candidates: []Candidate{},
	}
	if x.Reason != pool.None {
		out.Outcome, out.WaitsFor = "waits", x.Reason.String()
	}
	if x.Refusal != 0 {
		out.Outcome, out.Code = "refused", uint32(x.Refusal)
		out.CodeName = x.Refusal.Info().Name
		out.RetryMinMS, out.RetryMaxMS = x.RetryMin.Milliseconds(), x.RetryMax.Milliseconds()
	}
	for _, c := range x.Candidates[:min(maxCandidates, len(x.Candidates))] {
		out.Candidates = append(out.Candidates, Candidate{
			Endpoint: c.Endpoint, DataCentre: c.DataCentre, Obstacle: c.Obstacle, AvailableMS: c.AvailableIn.Milliseconds(), Cost: c.Cost,
			Work: c.Terms.Work, Slowdown: c.Terms.Slowdown, DataCentreCost: c.Terms.DataCentre, Preference: c.Terms.Preference,
			Affinity: c.Terms.Affinity, Random: c.Terms.Random,
		})
	}
	return out
}
