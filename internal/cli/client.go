package cli

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/twitchtv/twirp"

	adminv1 "github.com/radishloom/radishloom/api/admin/v1"
	"github.com/radishloom/radishloom/internal/httpresponse"
	"github.com/radishloom/radishloom/internal/resultcode"
)

const (
	// attemptTimeout bounds one attempt, in addition to the time that the server
	// deliberately waits. It is longer than an election, which takes at most 2.4 s.
	attemptTimeout = 6 * time.Second
	firstBackoff   = 200 * time.Millisecond
	maxBackoff     = 2 * time.Second
	// metaCode is the metadata key of the result code in twirp errors. It is part
	// of the administration API.
	metaCode = "result_code"
)

// refusal is the error of a call that was refused or not confirmed, with the exit
// code of the tool.
type refusal struct {
	code   resultcode.Code
	exit   int
	text   string
	faults []string
}

func (r *refusal) Error() string {
	var b strings.Builder
	if r.code != resultcode.OK {
		fmt.Fprintf(&b, "%d %s: ", uint32(r.code), r.code)
	}
	b.WriteString(r.text)
	for _, fault := range r.faults {
		b.WriteString("\n  " + fault)
	}
	return b.String()
}

// newRefusal returns a refusal with the exit code for the result code.
func newRefusal(code resultcode.Code, text string, faults ...string) *refusal {
	r := &refusal{code: code, exit: ExitRefused, text: text, faults: faults}
	switch code {
	case resultcode.ConfigConflict:
		r.exit = ExitConflict
	case resultcode.ConfigInvalid:
		r.exit = ExitInvalid
	case resultcode.VersionUnknown, resultcode.ResourceUnknown:
		r.exit = ExitNotFound
	case resultcode.OperatorUnknown:
		r.exit = ExitUnauthorized
	}
	return r
}

// server is the administration API at one address.
type server struct {
	url   string
	admin adminv1.Admin
}

// client calls one server at a time and fails over to the next one. It starts with
// the server that succeeded last.
type client struct {
	servers []server
	current int
	sleep   func(ctx context.Context, d time.Duration)
}

func newClient(a *app) (*client, error) {
	if len(a.global.Servers) == 0 {
		return nil, usagef("no server given; use --server IP:PORT or RADISHLOOM_SERVERS")
	}
	token, err := readToken(a.global.TokenFile)
	if err != nil {
		return nil, err
	}
	transport := a.env.Transport
	if transport == nil {
		if transport, err = newTransport(a.global.CA); err != nil {
			return nil, err
		}
	}
	c := &client{sleep: a.env.Sleep}
	for _, address := range a.global.Servers {
		base, err := serverURL(address, a.global.AllowPlaintext)
		if err != nil {
			return nil, err
		}
		checked := httpresponse.Transport{Next: transport, RequireFraming: true}
		httpClient := &http.Client{Transport: tokenTransport{next: checked, token: token}}
		c.servers = append(c.servers, server{url: base, admin: adminv1.NewAdminProtobufClient(base, httpClient)})
	}
	return c, nil
}

func readToken(file string) (string, error) {
	if file == "" {
		return "", usagef("no operator token given; use --token-file or RADISHLOOM_TOKEN_FILE")
	}
	data, err := os.ReadFile(file)
	if err != nil {
		return "", usagef("read the operator token: %v", err)
	}
	token := strings.TrimSpace(string(data))
	if token == "" {
		return "", usagef("the token file %s is empty", file)
	}
	return token, nil
}

func newTransport(ca string) (http.RoundTripper, error) {
	transport := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: 2 * time.Second}).DialContext,
		TLSHandshakeTimeout: 2 * time.Second,
		TLSClientConfig:     &tls.Config{MinVersion: tls.VersionTLS12},
	}
	if ca == "" {
		return transport, nil
	}
	data, err := os.ReadFile(ca)
	if err != nil {
		return nil, usagef("read the certificate authority: %v", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(data) {
		return nil, usagef("--ca %s contains no PEM certificate", ca)
	}
	transport.TLSClientConfig.RootCAs = pool
	return transport, nil
}

// serverURL returns the base URL for an address. IP:port becomes an https URL.
// Unless allowPlaintext is set, http is accepted for loopback addresses only, since
// every call carries the token.
func serverURL(address string, allowPlaintext bool) (string, error) {
	if !strings.Contains(address, "://") {
		address = "https://" + address
	}
	u, err := url.Parse(address)
	if err != nil {
		return "", usagef("--server %s: %v", address, err)
	}
	ip, err := netip.ParseAddrPort(u.Host)
	if err != nil || (u.Scheme != "https" && u.Scheme != "http") || u.User != nil {
		return "", usagef("--server %s: allowed: IP:port, https://IP:port or http://IP:port", address)
	}
	if u.Scheme == "http" && !ip.Addr().IsLoopback() && !allowPlaintext {
		return "", usagef("--server %s: plain text would show the token; use https or --allow-plaintext", address)
	}
	return u.Scheme + "://" + u.Host, nil
}

// tokenTransport adds the operator token to each request.
type tokenTransport struct {
	next  http.RoundTripper
	token string
}

func (t tokenTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	r = r.Clone(r.Context())
	r.Header.Set("Authorization", "Bearer "+t.token)
	return t.next.RoundTrip(r)
}

// outcome describes what is known about the attempts of a call.
type outcome struct {
	// uncertain is set if an attempt that returned an error may have been carried
	// out.
	uncertain bool
}

// callKind determines the time-out of a call and how its failures are reported.
type callKind struct {
	// changes is set if the call changes the fleet.
	changes bool
	// wait is the time that the server deliberately waits before it responds.
	wait time.Duration
}

// readCall is the kind of a call that changes nothing.
func readCall() callKind { return callKind{} }

// changeCall is the kind of a call that changes the fleet.
func changeCall(wait time.Duration) callKind { return callKind{changes: true, wait: wait} }

// call runs f against one server after the other until one returns a response or a
// final error, or ctx is done. It backs off after each round of all servers.
func call[R any](ctx context.Context, c *client, k callKind, f func(context.Context, adminv1.Admin) (R, error)) (R, outcome, error) {
	var zero R
	var result outcome
	var lastErr error
	backoff := firstBackoff
	for attempt := 0; ; attempt++ {
		s := c.servers[c.current]
		attemptCtx, cancel := context.WithTimeout(ctx, attemptTimeout+k.wait)
		response, err := f(attemptCtx, s.admin)
		cancel()
		if err == nil {
			return response, result, nil
		}
		code, decided := decision(err)
		if decided {
			return zero, result, newRefusal(code, messageOf(err))
		}
		result.uncertain = result.uncertain || (k.changes && mayHaveRun(code, err))
		lastErr = fmt.Errorf("%s: %w", s.url, err)
		c.current = (c.current + 1) % len(c.servers)
		if (attempt+1)%len(c.servers) == 0 {
			c.sleep(ctx, backoff)
			backoff = min(2*backoff, maxBackoff)
		}
		if ctx.Err() != nil {
			return zero, result, undecided(result, lastErr)
		}
	}
}

// undecided returns the error of a call that no server decided.
func undecided(o outcome, lastErr error) *refusal {
	if o.uncertain {
		return &refusal{
			code: resultcode.ChangeUnconfirmed, exit: ExitUnconfirmed,
			text: fmt.Sprintf("no server confirmed the call in time; it may have been carried out (%v)", lastErr),
		}
	}
	return &refusal{exit: ExitUnavailable, text: fmt.Sprintf("no server could carry out the call; nothing was changed (%v)", lastErr)}
}

// decision returns the result code of an error (zero if it has none) and whether
// it is final, since any other server would return the same.
func decision(err error) (code resultcode.Code, decided bool) {
	var twerr twirp.Error
	if !errors.As(err, &twerr) {
		return resultcode.OK, false
	}
	n, parseErr := strconv.ParseUint(twerr.Meta(metaCode), 10, 32)
	if parseErr != nil {
		return resultcode.OK, false
	}
	code = resultcode.Code(n)
	switch code {
	case resultcode.BadRequest, resultcode.BodyTooLarge, resultcode.OperatorUnknown,
		resultcode.VersionUnknown, resultcode.ResourceUnknown, resultcode.DiskFull:
		return code, true
	default:
		return code, false
	}
}

// mayHaveRun reports whether a call that returned err may have been carried out.
// Without a known result code, only a failed dial rules that out.
func mayHaveRun(code resultcode.Code, err error) bool {
	if info, known := resultcode.Lookup(code); known {
		return info.Run != resultcode.NotRun
	}
	var dial *net.OpError
	return !errors.As(err, &dial) || dial.Op != "dial"
}

func messageOf(err error) string {
	var twerr twirp.Error
	if errors.As(err, &twerr) {
		return twerr.Msg()
	}
	return err.Error()
}
