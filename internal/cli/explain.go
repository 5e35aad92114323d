package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/radishloom/radishloom/internal/httpresponse"
	"github.com/radishloom/radishloom/internal/protocol/explainhttp"
)

// requestWord in place of a result code asks for the explanation of a request.
const requestWord = "request"

// maxExplanationBytes bounds the answer of an entry.
const maxExplanationBytes = 1 << 20

// explainOptions describe a request that is not sent.
type explainOptions struct {
	Entry    string        `long:"entry" value-name:"IP:PORT" description:"request: metrics address of the entry to ask"`
	Route    string        `long:"route" description:"request: name of its route"`
	Service  string        `long:"service" description:"request: name of its service"`
	Model    string        `long:"model" description:"request: model"`
	Adapter  string        `long:"adapter" description:"request: adapter"`
	Customer string        `long:"customer" description:"request: name of its customer"`
	Prompt   uint32        `long:"prompt" description:"request: prompt tokens"`
	Output   uint32        `long:"output" description:"request: stated output tokens"`
	Deadline time.Duration `long:"deadline" description:"request: time that its caller waits; the time-out of the route if not given"`
}

func (o *explainOptions) url() (string, error) {
	if _, port, err := net.SplitHostPort(o.Entry); err != nil || port == "" {
		return "", usagef("--entry = %q: allowed: IP:PORT of an entry's metrics address", o.Entry)
	}
	if o.Route+o.Service == "" {
		return "", usagef("neither --route nor --service is given")
	}
	if o.Deadline < 0 || (o.Deadline > 0 && o.Deadline < time.Millisecond) {
		return "", usagef("--deadline = %s: allowed: 1ms or more", o.Deadline)
	}
	values := url.Values{}
	for name, value := range map[string]string{"route": o.Route, "service": o.Service, "model": o.Model, "adapter": o.Adapter, "customer": o.Customer} {
		if value != "" {
			values.Set(name, value)
		}
	}
	for name, value := range map[string]int64{"prompt": int64(o.Prompt), "output": int64(o.Output), "deadline_ms": o.Deadline.Milliseconds()} {
		if value != 0 {
			values.Set(name, strconv.FormatInt(value, 10))
		}
	}
	return "http://" + o.Entry + explainhttp.Path + "?" + values.Encode(), nil
}

func (a *app) explainRequest(ctx context.Context, o *explainOptions) error {
	address, err := o.url()
	if err != nil {
		return err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, address, nil)
	if err != nil {
		return usagef("--entry = %q: %v", o.Entry, err)
	}
	transport := a.env.Transport
	if transport == nil {
		transport = http.DefaultTransport
	}
	response, err := (&http.Client{Transport: httpresponse.Transport{Next: transport}}).Do(request)
	if err != nil {
		return &refusal{exit: ExitUnavailable, text: fmt.Sprintf("entry %s did not answer: %v", o.Entry, err)}
	}
	defer func() { _ = response.Body.Close() }() // the body has been read
	body, err := io.ReadAll(io.LimitReader(response.Body, maxExplanationBytes))
	if err != nil {
		return fmt.Errorf("read the answer of entry %s: %w", o.Entry, err)
	}
	var x explainhttp.Answer
	switch {
	case response.StatusCode != http.StatusOK:
		return fmt.Errorf("entry %s: status %d: %s", o.Entry, response.StatusCode, strings.TrimSpace(string(body)))
	case json.Unmarshal(body, &x) != nil:
		return fmt.Errorf("entry %s did not answer with an explanation; is this the metrics address of an entry?", o.Entry)
	case a.global.Output == "json":
		_, err = a.env.Stdout.Write(body)
		return err
	}
	return printExplanation(a.env.Stdout, &x)
}

func printExplanation(out io.Writer, x *explainhttp.Answer) error {
	fmt.Fprintf(out, "route %s, service %s, catalog version %d, state %d ms old\n", x.Route, x.Service, x.Catalog, x.StateAge)
	if x.OwnView {
		fmt.Fprintf(out, "own view of entry %s; the broker %s decides\n", x.Entry, x.Broker)
	}
	if x.Draining {
		fmt.Fprintln(out, "the entry is draining")
	}
	switch x.Outcome {
	case "refused":
		fmt.Fprintf(out, "refused: %d %s, Retry-After %d to %d ms\n", x.Code, x.CodeName, x.RetryMinMS, x.RetryMaxMS)
	case "waits":
		fmt.Fprintf(out, "waits for %s, at most %d ms, behind %d requests\n", x.WaitsFor, x.LongestMS, x.Ahead)
	default:
		fmt.Fprintf(out, "sent, behind %d waiting requests\n", x.Ahead)
	}
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, strings.Join(row("ENDPOINT", "DATA CENTRE", "COST", "WORK", "SLOWDOWN", "DC", "PREFERENCE", "AFFINITY", "RANDOM", "OBSTACLE"), "\t"))
	for _, c := range x.Candidates {
		obstacle := c.Obstacle
		if c.AvailableMS > 0 {
			obstacle = fmt.Sprintf("%s, for %d ms", obstacle, c.AvailableMS)
		}
		fmt.Fprintln(w, strings.Join(row(c.Endpoint, c.DataCentre, figure(c.Cost), figure(c.Work), figure(c.Slowdown), figure(c.DataCentreCost),
			figure(c.Preference), figure(-c.Affinity), "0.."+figure(c.Random), obstacle), "\t"))
	}
	if x.Total > len(x.Candidates) {
		fmt.Fprintf(w, "%d of %d endpoints\n", len(x.Candidates), x.Total)
	}
	return w.Flush()
}

// figure formats a term of a cost; adding zero avoids "-0.000".
func figure(f float64) string { return strconv.FormatFloat(f+0, 'f', 3, 64) }
