package forward

import (
	"maps"
	"slices"
	"time"
)

// doubtfulEndpoints has the endpoints that may have restarted with another software
// version than the list of this entry shows, with the time of the last sign of it. They
// keep their identifier and address, and the list lags.
type doubtfulEndpoints map[string]time.Duration

// noteUnreachable records that no connection to an endpoint could be opened: its process may
// be between two lives. A connection that is lost is no such sign, since links and other
// processes end connections, too.
func (d doubtfulEndpoints) noteUnreachable(now time.Duration, endpoint string) { d[endpoint] = now }

// noteSucceeded records that a send which began at sentAt has succeeded. If it began before
// a sign of a restart, there was none.
func (d doubtfulEndpoints) noteSucceeded(sentAt time.Duration, endpoint string) {
	if at, found := d[endpoint]; found && sentAt < at {
		delete(d, endpoint)
	}
}

// confirm forgets the endpoints whose version a list that was confirmed at a time shows.
func (d doubtfulEndpoints) confirm(confirmed time.Duration) {
	maps.DeleteFunc(d, func(_ string, at time.Duration) bool { return confirmed >= at+versionLag })
}

func (d doubtfulEndpoints) has(endpoint string) bool {
	_, found := d[endpoint]
	return found
}

// excludeDoubtfulLocked keeps a request that continues a stream from doubtful endpoints.
func (c *call) excludeDoubtfulLocked() {
	table := c.server.mu.entry.Table
	for endpoint := range c.server.mu.doubtful {
		if table.SoftwareVersion(endpoint) == c.query.SoftwareVersion && !slices.Contains(c.query.Exclude, endpoint) {
			c.query.Exclude = append(c.query.Exclude, endpoint)
		}
	}
}
