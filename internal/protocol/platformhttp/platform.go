// Package platformhttp reads the platform's list of VMs over HTTP. It is a JSON
// array such as
//
//	[{"address": "10.0.0.1:8000"}, {"address": "10.0.0.2", "leaving": true}]
package platformhttp

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"time"

	"github.com/radishloom/radishloom/internal/coordination/engine"
	"github.com/radishloom/radishloom/internal/coordination/exchange"
	"github.com/radishloom/radishloom/internal/resultcode"
)

const (
	// maxListBytes is enough for about ten thousand VMs.
	maxListBytes = 4 << 20
	// listIdleTimeout bounds the time without a byte of the list.
	listIdleTimeout = 2 * time.Second
)

// Platform is the HTTP implementation of engine.Platform. It is safe for
// concurrent use.
type Platform struct {
	client  exchange.Client
	address string
	target  string
}

var _ engine.Platform = (*Platform)(nil)

// New returns a Platform that reads the list at a URL such as
// http://10.0.0.9:8000/vms. The host must be an IP address. TLS is not supported.
func New(client exchange.Client, listURL string) (*Platform, error) {
	u, err := url.Parse(listURL)
	if err != nil {
		return nil, fmt.Errorf("invalid URL of the platform's VM list: %w", err)
	}
	if _, err := netip.ParseAddrPort(u.Host); err != nil || u.Scheme != "http" || u.User != nil {
		return nil, fmt.Errorf("invalid URL %q of the platform's VM list: want http://IP:PORT/PATH", u.Redacted())
	}
	return &Platform{client: client, address: u.Host, target: u.RequestURI()}, nil
}

// listEntry is one element of the list.
type listEntry struct {
	Address string `json:"address"`
	Leaving bool   `json:"leaving"`
}

// List implements engine.Platform. A truncated or malformed list is an error:
// live VMs that are missing from it would be considered gone.
func (p *Platform) List(ctx context.Context) ([]engine.VMState, error) {
	resp, err := p.client.Do(ctx, &exchange.Request{
		Address: p.address, Method: http.MethodGet, Target: p.target, IdleTimeout: listIdleTimeout,
		Header: http.Header{"Accept": {"application/json"}},
		// Lists name no request, so a late copy of one would pass for the next.
		FreshConnection: true,
	})
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close() // never fails
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxListBytes+1))
	if err != nil {
		return nil, err
	}
	if resp.Status != http.StatusOK {
		return nil, resultcode.New(resultcode.EndpointLost, "the platform responded with status %d to a request for its VM list", resp.Status)
	}
	return parse(body)
}

func parse(body []byte) ([]engine.VMState, error) {
	if len(body) > maxListBytes {
		return nil, resultcode.New(resultcode.AnswerMismatch, "the platform's VM list exceeds %d bytes", maxListBytes)
	}
	var lines []listEntry
	if err := json.Unmarshal(body, &lines); err != nil {
		return nil, resultcode.Wrap(resultcode.AnswerMismatch, err, "the platform's VM list is malformed")
	}
	out := make([]engine.VMState, 0, len(lines))
	for i, line := range lines {
		if line.Address == "" {
			return nil, resultcode.New(resultcode.AnswerMismatch, "entry %d of the platform's VM list has no address", i)
		}
		out = append(out, engine.VMState(line))
	}
	return out, nil
}
