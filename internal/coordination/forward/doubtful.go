package forward

import (
	"maps"
	"slices"
	"time"

	"github.com/radishloom/radishloom/internal/coordination/pool"
)

// doubtfulEndpoints has the endpoints that may have restarted with another software
// version than the list of this entry shows, with the time of the last sign of it. They
// keep their identifier and address, and the list lags.
type doubtfulEndpoints map[string]time.Duration

// note records the result of a send that began at sentAt. One that succeeds although it
// began before a sign of a restart shows that there was none.
func (d doubtfulEndpoints) note(now, sentAt time.Duration, endpoint string, r pool.Result) {
	switch r {
	case pool.Failed, pool.Absent:
		d[endpoint] = now
	case pool.Succeeded:
		if at, found := d[endpoint]; found && sentAt < at {
			delete(d, endpoint)
		}
	case pool.Unknown, pool.Refused:
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
