package telemetry

import (
	"context"
	"fmt"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"go.opentelemetry.io/otel/attribute"
	otelprom "go.opentelemetry.io/otel/exporters/prometheus"
	"go.opentelemetry.io/otel/metric"
	sdk "go.opentelemetry.io/otel/sdk/metric"

	"github.com/radishloom/radishloom/internal/resultcode"
)

// Other is the label value of names that are not in the known set.
const Other = "other"

// The number of customers and profiles that get their own label is bounded. With
// both values of "attained" an instrument has at most 3,200 series. The SDK's
// default limit of 2,000 series would merge customers and profiles that should
// have their own label, so the limit is set above 3,200.
const (
	maxCustomers = 79 // and "other"
	maxProfiles  = 19 // and "other"
	maxSeries    = 4096
)

// Retry reasons other than the names of result codes.
const (
	// RetryResume: a stream was resumed on another connection.
	RetryResume = "resume"
	// RetryExclusive: a weakly suspected request runs exclusively, with no other
	// request on its endpoint.
	RetryExclusive = "alone"
)

// Kinds of orders to engines, which are label values.
const (
	OrderLoadModel     = "load_model"
	OrderUnloadModel   = "unload_model"
	OrderLoadAdapter   = "load_adapter"
	OrderUnloadAdapter = "unload_adapter"
	OrderSetRole       = "set_role"
)

// Kinds of answers about the software version of a stream, which are label values.
const (
	StreamRecorded    = "recorded"
	StreamOnlyVersion = "only_version"
	StreamUnknown     = "unknown"
)

// Metrics holds the instruments of one process. All methods are safe for
// concurrent use, and none blocks.
type Metrics struct {
	handler     http.Handler
	provider    *sdk.MeterProvider
	known       atomic.Pointer[names]
	codes       map[resultcode.Code]metric.MeasurementOption
	reasons     map[string]metric.MeasurementOption
	orderKinds  map[string]metric.MeasurementOption
	other       metric.MeasurementOption
	answerKinds map[string]metric.MeasurementOption

	refusals       metric.Int64Counter
	retries        metric.Int64Counter
	skipped        metric.Int64Counter
	requests       metric.Int64Counter
	queueTime      metric.Float64Histogram
	firstToken     metric.Float64Histogram
	responseTime   metric.Float64Histogram
	streamMaxPause metric.Float64Histogram
	outputEstimate metric.Float64Histogram
	tokenGap       metric.Float64Histogram
	tokens         metric.Int64Counter
	engineOrders   metric.Int64Counter
	leases         metric.Int64Counter
	leaseLevel     metric.Int64Gauge
	elections      metric.Int64Counter
	leader         metric.Int64Gauge
	logBytes       metric.Int64Gauge
	logEntries     metric.Int64Gauge
	voters         metric.Int64Gauge
	inactiveVoters metric.Int64Gauge
	tolerableLoss  metric.Int64Gauge
	evacuated      metric.Int64Gauge
	version        metric.Int64Gauge
	freshnessLease metric.Int64Gauge
	openRequests   metric.Int64Gauge
	slotWaits      metric.Int64Counter
	slotDecisions  metric.Int64Counter
	leaderWarming  metric.Int64Gauge
	entryWarming   metric.Int64Gauge
	streams        metric.Int64Gauge
	streamAnswers  metric.Int64Counter
	callerMemory   metric.Int64Gauge
	closedConns    metric.Int64Counter
	takeUps        metric.Int64Counter
	unresumed      metric.Int64Counter
}

// names holds the customers and profiles that have a label value of their own.
// The options are built in advance, since building them for each request would
// allocate.
type names struct {
	customers map[string]bool
	profiles  map[string]bool
	pairs     map[pair]pairOptions
}

type pair struct{ customer, profile string }

type pairOptions struct {
	plain    metric.MeasurementOption
	attained metric.MeasurementOption
	missed   metric.MeasurementOption
}

// NewMetrics returns metrics with their own registry.
func NewMetrics() (*Metrics, error) {
	registry := prometheus.NewRegistry()
	exporter, err := otelprom.New(otelprom.WithRegisterer(registry), otelprom.WithoutScopeInfo(), otelprom.WithoutTargetInfo())
	if err != nil {
		return nil, fmt.Errorf("create the Prometheus exporter: %w", err)
	}
	m := &Metrics{
		handler:     promhttp.HandlerFor(registry, promhttp.HandlerOpts{}),
		provider:    sdk.NewMeterProvider(sdk.WithReader(exporter), sdk.WithCardinalityLimit(maxSeries)),
		codes:       make(map[resultcode.Code]metric.MeasurementOption),
		reasons:     make(map[string]metric.MeasurementOption),
		orderKinds:  make(map[string]metric.MeasurementOption),
		answerKinds: make(map[string]metric.MeasurementOption),
	}
	m.buildLabels()
	m.SetKnown(nil, nil)
	if err := m.buildInstruments(m.provider.Meter("radishloom")); err != nil {
		return nil, fmt.Errorf("create the metric instruments: %w", err)
	}
	return m, nil
}

func (m *Metrics) buildLabels() {
	m.other = label("reason", Other)
	for _, info := range resultcode.All() {
		m.codes[info.Code] = metric.WithAttributes(
			attribute.Int64("code", int64(info.Code)), attribute.String("name", info.Name))
		m.reasons[info.Name] = label("reason", info.Name)
	}
	for _, reason := range []string{RetryResume, RetryExclusive} {
		m.reasons[reason] = label("reason", reason)
	}
	for _, kind := range []string{StreamRecorded, StreamOnlyVersion, StreamUnknown, Other} {
		m.answerKinds[kind] = label("kind", kind)
	}
	for _, kind := range []string{OrderLoadModel, OrderUnloadModel, OrderLoadAdapter, OrderUnloadAdapter, OrderSetRole, Other} {
		m.orderKinds[kind] = label("kind", kind)
	}
}

func label(key, value string) metric.MeasurementOption {
	return metric.WithAttributeSet(attribute.NewSet(attribute.String(key, value)))
}

// instruments creates instruments and records the first error.
type instruments struct {
	meter metric.Meter
	err   error
}

func (i *instruments) counter(name, text string) metric.Int64Counter {
	c, err := i.meter.Int64Counter(name, metric.WithDescription(text))
	i.keep(err)
	return c
}

func (i *instruments) gauge(name, unit, text string) metric.Int64Gauge {
	g, err := i.meter.Int64Gauge(name, metric.WithDescription(text), metric.WithUnit(unit))
	i.keep(err)
	return g
}

func (i *instruments) seconds(name, text string, bounds ...float64) metric.Float64Histogram {
	h, err := i.meter.Float64Histogram(name, metric.WithDescription(text), metric.WithUnit("s"),
		metric.WithExplicitBucketBoundaries(bounds...))
	i.keep(err)
	return h
}

func (i *instruments) ratio(name, text string, bounds ...float64) metric.Float64Histogram {
	h, err := i.meter.Float64Histogram(name, metric.WithDescription(text), metric.WithExplicitBucketBoundaries(bounds...))
	i.keep(err)
	return h
}

func (i *instruments) keep(err error) {
	if i.err == nil {
		i.err = err
	}
}

func (m *Metrics) buildInstruments(meter metric.Meter) error {
	i := &instruments{meter: meter}
	m.refusals = i.counter("radishloom.refusals", "Refused requests by result code.")
	m.retries = i.counter("radishloom.retries", "Retries of requests by reason.")
	m.skipped = i.counter("radishloom.skipped.responses", "Responses of endpoints that named another request.")
	m.requests = i.counter("radishloom.requests", "Finished requests by customer, profile and whether they met the targets.")
	m.tokens = i.counter("radishloom.tokens", "Charged tokens by customer and profile.")
	m.engineOrders = i.counter("radishloom.model.moves", "Orders carried out by engines, by kind.")
	m.leases = i.counter("radishloom.lease.tokens", "Tokens granted to this entry and returned by it, by direction.")
	m.elections = i.counter("radishloom.elections", "Leader elections observed by this VM.")
	m.slotWaits = i.counter("radishloom.slot.waits", "Waits for slots at engines, compared with what was expected on arrival.")
	m.slotDecisions = i.counter("radishloom.slot.decisions", "Decisions of this VM as a broker about waiting requests, by kind.")
	m.queueTime = i.seconds("radishloom.queue.time", "Time from admission to the first send of a request.",
		0.001, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10)
	m.responseTime = i.seconds("radishloom.answer.time", "Time from a request to a plain service to its complete response.",
		0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5)
	m.streamMaxPause = i.seconds("radishloom.stream.pause", "Longest pause between two events of a stream.",
		0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5)
	m.outputEstimate = i.ratio("radishloom.output.estimate", "Predicted output tokens of a stream divided by those that it generated.",
		0.25, 0.5, 0.71, 0.83, 1, 1.2, 1.4, 2, 4)
	m.firstToken = i.seconds("radishloom.first.token.time", "Time from the request to its first token.",
		0.025, 0.05, 0.1, 0.25, 0.5, 1, 1.8, 2.5, 5, 10, 30)
	m.tokenGap = i.seconds("radishloom.token.gap", "Time between tokens of a stream.",
		0.002, 0.005, 0.01, 0.015, 0.02, 0.025, 0.05, 0.1, 0.25, 1, 3)
	m.leaseLevel = i.gauge("radishloom.lease.level", "", "Unspent tokens held by this entry, over all customers.")
	m.leader = i.gauge("radishloom.leader", "", "1 if this VM is the leader of the replicated log.")
	m.logBytes = i.gauge("radishloom.log.size", "By", "Size of the write-ahead log and its snapshots.")
	m.logEntries = i.gauge("radishloom.log.entries", "", "Log entries since the last snapshot.")
	m.voters = i.gauge("radishloom.voters", "", "Voters in this VM's log.")
	m.inactiveVoters = i.gauge("radishloom.voters.inactive", "", "Voters that do not answer this VM, if it leads.")
	m.evacuated = i.gauge("radishloom.evacuated.data.centres", "", "Data centres whose endpoints get no new requests, as this control VM has applied it.")
	m.tolerableLoss = i.gauge("radishloom.voters.tolerable.losses", "", "Further voters that may be lost while a majority remains, if this VM leads.")
	m.version = i.gauge("radishloom.config.version", "", "Configuration version in force at this VM.")
	m.freshnessLease = i.gauge("radishloom.freshness.lease", "", "1 while the freshness lease is valid.")
	m.leaderWarming = i.gauge("radishloom.leader.endpoints.warming", "", "Endpoints that warm up, as the leader knows.")
	m.entryWarming = i.gauge("radishloom.entry.endpoints.warming", "", "Endpoints that this entry treats as warming up.")
	m.streams = i.gauge("radishloom.streams.recorded", "", "Streams whose software version this VM knows, if it leads.")
	m.streamAnswers = i.counter("radishloom.stream.version.answers", "Answers of the leader about the software version of streams, by kind.")
	m.openRequests = i.gauge("radishloom.open.requests", "", "Open requests of callers at this VM.")
	m.callerMemory = i.gauge("radishloom.caller.memory", "By", "Memory reserved for callers by kind, and the total that may be.")
	m.closedConns = i.counter("radishloom.connections.closed", "Connections of callers that this VM closed or refused, by reason.")
	m.takeUps = i.counter("radishloom.stream.takeups", "Requests that take up a stream, by outcome.")
	m.unresumed = i.counter("radishloom.stream.resumptions.refused", "Streams that broke off and were not resumed at another endpoint because of the software version that began them.")
	return i.err
}

// Handler returns the HTTP handler that serves scrapes.
func (m *Metrics) Handler() http.Handler { return m.handler }

// Shutdown stops the collection of metrics.
func (m *Metrics) Shutdown(ctx context.Context) error { return m.provider.Shutdown(ctx) }

// SetKnown replaces the customers and profiles that have a label value of their
// own. Those beyond the limits, in the order given, and all unknown ones are
// counted under Other. Call it after each change of the configuration.
func (m *Metrics) SetKnown(customers, profiles []string) {
	n := &names{
		customers: boundedSet(customers, maxCustomers),
		profiles:  boundedSet(profiles, maxProfiles),
		pairs:     make(map[pair]pairOptions),
	}
	for customer := range n.customers {
		for profile := range n.profiles {
			n.pairs[pair{customer, profile}] = newPairOptions(customer, profile)
		}
	}
	m.known.Store(n)
}

func boundedSet(values []string, limit int) map[string]bool {
	s := map[string]bool{Other: true}
	for _, value := range values {
		if len(s) > limit {
			break
		}
		s[value] = true
	}
	return s
}

func newPairOptions(customer, profile string) pairOptions {
	c, p := attribute.String("customer", customer), attribute.String("profile", profile)
	return pairOptions{
		plain:    metric.WithAttributeSet(attribute.NewSet(c, p)),
		attained: metric.WithAttributeSet(attribute.NewSet(c, p, attribute.Bool("attained", true))),
		missed:   metric.WithAttributeSet(attribute.NewSet(c, p, attribute.Bool("attained", false))),
	}
}

func (m *Metrics) pair(customer, profile string) pairOptions {
	n := m.known.Load()
	if !n.customers[customer] {
		customer = Other
	}
	if !n.profiles[profile] {
		profile = Other
	}
	return n.pairs[pair{customer, profile}]
}

// Refusal counts a refused request.
func (m *Metrics) Refusal(code resultcode.Code) {
	option, ok := m.codes[code]
	if !ok {
		option = m.codes[resultcode.Internal]
	}
	m.refusals.Add(context.Background(), 1, option)
}

// Retry counts a retry of a request. The reason is the name of the
// result code that the last attempt ended with, RetryResume or RetryExclusive.
func (m *Metrics) Retry(reason string) {
	option, ok := m.reasons[reason]
	if !ok {
		option = m.other
	}
	m.retries.Add(context.Background(), 1, option)
}

// Request counts a finished request by whether it met the targets of its profile.
func (m *Metrics) Request(customer, profile string, attained bool) {
	options := m.pair(customer, profile)
	if attained {
		m.requests.Add(context.Background(), 1, options.attained)
		return
	}
	m.requests.Add(context.Background(), 1, options.missed)
}

// Tokens counts charged tokens.
func (m *Metrics) Tokens(customer, profile string, n uint64) {
	m.tokens.Add(context.Background(), int64(n), m.pair(customer, profile).plain)
}

// QueueTime records how long a request waited before its first send.
func (m *Metrics) QueueTime(customer, profile string, d time.Duration) {
	m.queueTime.Record(context.Background(), d.Seconds(), m.pair(customer, profile).plain)
}

// FirstToken records the time from a request to its first token.
func (m *Metrics) FirstToken(customer, profile string, d time.Duration) {
	m.firstToken.Record(context.Background(), d.Seconds(), m.pair(customer, profile).plain)
}

// TokenGap records the time between two tokens of a stream.
func (m *Metrics) TokenGap(customer, profile string, d time.Duration) {
	m.tokenGap.Record(context.Background(), d.Seconds(), m.pair(customer, profile).plain)
}

// EngineOrder counts an order that an engine carried out.
func (m *Metrics) EngineOrder(kind string) {
	option, ok := m.orderKinds[kind]
	if !ok {
		option = m.orderKinds[Other]
	}
	m.engineOrders.Add(context.Background(), 1, option)
}

// Leases counts the tokens granted to this entry and those that it returned, and
// records the number of tokens that it holds.
func (m *Metrics) Leases(granted, returned, level uint64) {
	ctx := context.Background()
	m.leases.Add(ctx, int64(granted), label("direction", "granted"))
	m.leases.Add(ctx, int64(returned), label("direction", "returned"))
	m.leaseLevel.Record(ctx, int64(level))
}

// EvacuatedDataCentres records the number of evacuated data centres.
func (m *Metrics) EvacuatedDataCentres(n int) {
	m.evacuated.Record(context.Background(), int64(n))
}

// Election counts a leader election that this VM observed.
func (m *Metrics) Election() { m.elections.Add(context.Background(), 1) }

// Leader records whether this VM is the leader of the replicated log.
func (m *Metrics) Leader(leads bool) { m.leader.Record(context.Background(), boolToInt(leads)) }

// Quorum records the voters in this VM's log and, on the leader, how many of them
// are inactive and how many more may be lost.
func (m *Metrics) Quorum(voters uint32, inactive int, tolerableLosses uint32) {
	ctx := context.Background()
	m.voters.Record(ctx, int64(voters))
	m.inactiveVoters.Record(ctx, int64(inactive))
	m.tolerableLoss.Record(ctx, int64(tolerableLosses))
}

// LogSize records the size of the log on disk and the number of its entries since
// the last snapshot.
func (m *Metrics) LogSize(bytes int64, entries uint64) {
	m.logBytes.Record(context.Background(), bytes)
	m.logEntries.Record(context.Background(), int64(entries))
}

// Freshness records the configuration version in force and whether the
// freshness lease is valid.
func (m *Metrics) Freshness(version uint64, fresh bool) {
	m.version.Record(context.Background(), int64(version))
	m.freshnessLease.Record(context.Background(), boolToInt(fresh))
}

// CallerMemory records the memory that is reserved for callers for one kind of use; the
// kind "total" is the size of the budget.
func (m *Metrics) CallerMemory(kind string, bytes int64) {
	m.callerMemory.Record(context.Background(), bytes, label("kind", kind))
}

// ConnectionClosed counts a connection that was closed to protect this VM.
func (m *Metrics) ConnectionClosed(reason string) {
	m.closedConns.Add(context.Background(), 1, label("reason", reason))
}

// SkippedResponses counts responses of endpoints that named another request than the one
// under way.
func (m *Metrics) SkippedResponses(n int) { m.skipped.Add(context.Background(), int64(n)) }

// OpenRequests records the number of open requests of callers.
func (m *Metrics) OpenRequests(n int) { m.openRequests.Record(context.Background(), int64(n)) }

// WarmingEndpoints records how many endpoints warm up by the leader's list.
func (m *Metrics) WarmingEndpoints(n int) {
	m.leaderWarming.Record(context.Background(), int64(n))
}

// RecordedStreams records for how many streams the leader knows the software version.
func (m *Metrics) RecordedStreams(n int) { m.streams.Record(context.Background(), int64(n)) }

// StreamAnswer counts an answer of the leader about a stream by its kind.
func (m *Metrics) StreamAnswer(kind string) {
	option, ok := m.answerKinds[kind]
	if !ok {
		option = m.answerKinds[Other]
	}
	m.streamAnswers.Add(context.Background(), 1, option)
}

// EntryWarmingEndpoints records how many endpoints this entry treats as warming up.
func (m *Metrics) EntryWarmingEndpoints(n int) {
	m.entryWarming.Record(context.Background(), int64(n))
}

func boolToInt(b bool) int64 {
	if b {
		return 1
	}
	return 0
}

// ResponseTime records the time to the complete response of a plain service.
func (m *Metrics) ResponseTime(took time.Duration) {
	m.responseTime.Record(context.Background(), took.Seconds())
}

// OutputEstimate records the ratio of the output tokens that were predicted for a
// stream to those that it generated.
func (m *Metrics) OutputEstimate(predicted, generated int) {
	m.outputEstimate.Record(context.Background(), float64(predicted)/float64(max(1, generated)))
}

// StreamTimes records the time to the first event of a stream and the longest
// gap between two of its events.
func (m *Metrics) StreamTimes(first, pause time.Duration) {
	m.firstToken.Record(context.Background(), first.Seconds(), m.pair(Other, Other).plain)
	m.streamMaxPause.Record(context.Background(), pause.Seconds())
}

// SlotDecisions counts decisions of one kind that this VM, as a broker, made about
// waiting requests.
func (m *Metrics) SlotDecisions(kind string, n uint64) {
	m.slotDecisions.Add(context.Background(), int64(n), label("kind", kind))
}

// SlotWaits counts waits for slots whose comparison with the expected wait had one
// result.
func (m *Metrics) SlotWaits(result string, n uint64) {
	m.slotWaits.Add(context.Background(), int64(n), label("result", result))
}

// TakeUp counts a request that took up a stream, by its outcome.
func (m *Metrics) TakeUp(outcome string) {
	m.takeUps.Add(context.Background(), 1, label("outcome", outcome))
}

// ResumptionRefused counts a stream that broke off and was not resumed at another
// endpoint because of the software version that began it.
func (m *Metrics) ResumptionRefused() { m.unresumed.Add(context.Background(), 1) }
