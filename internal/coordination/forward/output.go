package forward

import (
	"bytes"

	"github.com/radishloom/radishloom/internal/coordination/workload"
)

// outputModel predicts the output of requests from that of finished ones.
type outputModel struct {
	estimator *workload.Estimator
	// sizes has the tokens per event of each service, since events do not state
	// them.
	sizes *workload.EventSizes
}

func newOutputModel() outputModel {
	return outputModel{workload.NewEstimator(), workload.NewEventSizes()}
}

// expectedOutput returns the number of tokens that the request will probably
// generate.
func (c *call) expectedOutput() int {
	s := c.server
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.mu.outputs.estimator.Output(c.outputKey(), c.outputFeatures())
}

func (c *call) outputKey() workload.Key {
	return workload.Key{Route: c.route.Name, Model: c.req.Model, Adapter: c.req.Adapter, Customer: c.customerName()}
}

func (c *call) outputFeatures() workload.Features {
	return workload.Features{PromptTokens: c.req.PromptTokens, OutputLimit: c.req.OutputTokens, Hint: c.req.ExpectedOutput}
}

// recordOutput records what a complete stream of an engine generated. A stream that the
// caller resumed lacks the events before.
func (c *call) recordOutput() {
	events := c.relay.eventCount
	if c.service.Engine == nil || !c.req.HasTokens || c.req.LastEventID != "" || events == 0 {
		return
	}
	predicted := c.query.HeldTokens - c.req.PromptTokens
	if tokens, known := c.server.learnOutput(c, events); known {
		c.server.cfg.Metrics.OutputEstimate(predicted, tokens)
	}
}

// learnOutput records the events of a complete stream, and returns the tokens in them
// if the size of an event is known.
func (s *Server) learnOutput(c *call, events int) (tokens int, known bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f := c.outputFeatures()
	s.mu.outputs.sizes.Observe(c.service.Name, c.customerName(), f, events)
	if tokens, known = s.mu.outputs.sizes.Tokens(c.service.Name, events); known {
		s.mu.outputs.estimator.Observe(s.now(), c.outputKey(), f, tokens)
	}
	return tokens, known
}

// countEvents counts the events that end in p, which follows the bytes in tail.
func countEvents(tail, p []byte) int {
	var buf [2 * (maxEventEnd - 1)]byte
	n := 0
	for _, end := range eventEnds {
		n += bytes.Count(p, end)
		// An end that begins in the tail is counted as well.
		border := append(buf[:0], tail[max(0, len(tail)-len(end)+1):]...)
		border = append(border, p[:min(len(p), len(end)-1)]...)
		n += bytes.Count(border, end)
	}
	return n
}
