package forward

import (
	"github.com/radishloom/radishloom/internal/coordination/exchange"
	"github.com/radishloom/radishloom/internal/coordination/pool"
	"github.com/radishloom/radishloom/internal/resultcode"
	"github.com/radishloom/radishloom/internal/state/catalog"
)

// resumable reports whether the route's streams can be continued by another request, or
// at another endpoint.
func (c *call) resumable() bool { return c.route.Kind == catalog.Streaming && c.route.Resumable }

// restrictVersion restricts the next send to the software version that began the stream.
// Until an event has been passed on, a new stream may begin at any version. It returns
// an error if the version has become unknown. Doubtful endpoints are not used.
func (c *call) restrictVersion() *resultcode.Error {
	s := c.server
	s.mu.Lock()
	defer s.mu.Unlock()
	if c.begun != nil {
		c.query.SoftwareVersion = c.begun.origin.version
		if c.begun.origin.version == "" {
			c.countResumptionRefused()
			return resultcode.New(resultcode.StreamBroken, "the software version that began the stream is unknown")
		}
		c.excludeDoubtfulLocked()
		return nil
	}
	if c.query.SoftwareVersion == "" {
		return nil
	}
	c.excludeDoubtfulLocked()
	if origin, found := s.mu.streams.Origin(s.now(), c.stream); found && origin != (streamOrigin{c.service.Name, c.query.SoftwareVersion}) {
		c.takeUp = takeUpUnknown
		return notResumable("the software version that began the stream has become unknown")
	}
	return nil
}

// versionRefusal returns the error for a request that got no slot because no usable
// endpoint has the software version that began the stream, and err for any other.
func (c *call) versionRefusal(err *resultcode.Error) *resultcode.Error {
	// A retry-after time tells that the service is evacuated: a new stream cannot begin.
	if err.Code != resultcode.NoEndpoint || err.RetryAfter > 0 || c.query.SoftwareVersion == "" {
		return err
	}
	if c.begun != nil {
		c.countResumptionRefused()
		return err
	}
	c.takeUp = takeUpNoEndpoint
	return notResumable("service %q has no endpoint left with the software version %q, which began the stream", c.service.Name, c.query.SoftwareVersion)
}

// countResumptionRefused counts, once, that the stream of this request is not resumed
// because of its software version.
func (c *call) countResumptionRefused() {
	if !c.resumptionRefused {
		c.resumptionRefused = true
		c.server.cfg.Metrics.ResumptionRefused()
	}
}

// confirmVersion is called before the first event of each response is passed on. It
// records the begin of a stream, or confirms that the endpoint still has the version
// that began it: the list of endpoints may have changed since the request was sent.
func (c *call) confirmVersion() *resultcode.Error {
	s, from := c.server, c.current
	s.mu.Lock()
	defer s.mu.Unlock()
	version := from.version
	if s.mu.entry.Table.SoftwareVersion(from.EndpointID) != version || s.mu.doubtful.has(from.EndpointID) || !c.described {
		version = ""
	}
	if required := c.query.SoftwareVersion; required != "" && version != required {
		return resultcode.New(resultcode.StreamBroken, "endpoint %s no longer has the software version %q, which began the stream", from.EndpointID, required)
	}
	if c.begun == nil {
		origin := streamOrigin{c.service.Name, version}
		unclear := c.resumable() && !s.mu.routeHistory.clear(s.now(), c.route.Host, c.req.Path)
		c.begun = s.mu.streams.Began(s.now(), c.stream, origin, from.EndpointID, unclear)
	}
	return nil
}

// noteConnection records whether the list of endpoints describes the process that sent a
// response. An endpoint may restart with another version while this entry is cut off from
// control, and only a connection that outlasts the list shows that it has not.
func (c *call) noteConnection(resp *exchange.Response) {
	s := c.server
	s.mu.Lock()
	defer s.mu.Unlock()
	connectedAt := s.now() // if unknown
	if !resp.ConnectedAt.IsZero() {
		connectedAt = resp.ConnectedAt.Sub(s.start)
	}
	c.described = s.mu.listState.describes(s.now(), connectedAt, c.query.SoftwareVersion != "")
}

// fitsVersionLocked reports whether an endpoint has the software version that a request is
// restricted to, by the list of this entry, and shows no sign of a restart since.
func (s *Server) fitsVersionLocked(q *pool.Query, endpoint string) bool {
	return q.SoftwareVersion == "" || s.mu.entry.Table.SoftwareVersion(endpoint) == q.SoftwareVersion && !s.mu.doubtful.has(endpoint)
}

// servicesWithVersions returns the services whose endpoints have several software
// versions.
func servicesWithVersions(list []pool.Endpoint) map[string]bool {
	out := map[string]bool{}
	for i := range list {
		if list[i].VersionsDiffer {
			out[list[i].Service] = true
		}
	}
	return out
}
