package telemetry

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net/http/httptest"
	"os"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/radishloom/radishloom/internal/resultcode"
)

func scrape(t *testing.T, m *Metrics) string {
	recorder := httptest.NewRecorder()
	m.Handler().ServeHTTP(recorder, httptest.NewRequest("GET", "/metrics", nil))
	body, err := io.ReadAll(recorder.Body)
	if err != nil || recorder.Code != 200 {
		t.Fatalf("scrape: status %d, want 200; read error %v", recorder.Code, err)
	}
	return string(body)
}

// Guards against instruments that are registered but never exported, and
// against label names that differ from the documentation.
func TestScrape(t *testing.T) {
	m, err := NewMetrics()
	if err != nil {
		t.Fatal(err)
	}
	m.SetKnown([]string{"acme"}, []string{"interactive"})
	m.Refusal(resultcode.KeyUnknown)
	m.Retry(resultcode.EndpointLost.String())
	m.Request("acme", "interactive", true)
	m.Tokens("acme", "interactive", 7)
	m.QueueTime("acme", "interactive", time.Millisecond)
	m.FirstToken("acme", "interactive", time.Second)
	m.TokenGap("acme", "interactive", time.Millisecond)
	m.EngineOrder(OrderLoadModel)
	m.Leases(100, 20, 80)
	m.Election()
	m.Leader(true)
	m.LogSize(4096, 12)
	m.Quorum(5, 2, 1)
	m.EvacuatedDataCentres(2)
	m.WarmingEndpoints(4)
	m.EntryWarmingEndpoints(5)
	m.RecordedStreams(6)
	m.StreamAnswer("only_version")
	m.Freshness(9, true)
	m.OpenRequests(3)
	m.SkippedResponses(2)
	m.CallerMemory("bodies", 5)
	m.ConnectionClosed("memory")
	m.ResponseTime(time.Millisecond)
	m.StreamTimes(time.Second, time.Millisecond)
	m.OutputEstimate(60, 50)
	m.SlotDecisions("refused_late", 2)
	m.TakeUp("leader")
	m.ResumptionRefused()
	m.SlotWaits("longer", 3)
	text := scrape(t, m)
	for _, want := range []string{
		`radishloom_refusals_total{code="1004",name="key_unknown"} 1`,
		`radishloom_retries_total{reason="endpoint_lost"} 1`,
		`radishloom_skipped_responses_total 2`,
		`radishloom_caller_memory_bytes{kind="bodies"} 5`,
		`radishloom_connections_closed_total{reason="memory"} 1`,
		`radishloom_requests_total{attained="true",customer="acme",profile="interactive"} 1`,
		`radishloom_tokens_total{customer="acme",profile="interactive"} 7`,
		`radishloom_queue_time_seconds_count{customer="acme",profile="interactive"} 1`,
		`radishloom_first_token_time_seconds_count{customer="acme",profile="interactive"} 1`,
		`radishloom_token_gap_seconds_count{customer="acme",profile="interactive"} 1`,
		`radishloom_model_moves_total{kind="load_model"} 1`,
		`radishloom_lease_tokens_total{direction="granted"} 100`,
		`radishloom_lease_level 80`,
		`radishloom_elections_total 1`,
		`radishloom_leader 1`,
		`radishloom_log_size_bytes 4096`,
		`radishloom_log_entries 12`,
		`radishloom_voters 5`,
		`radishloom_voters_inactive 2`,
		`radishloom_voters_tolerable_losses 1`,
		`radishloom_evacuated_data_centres 2`,
		`radishloom_leader_endpoints_warming 4`,
		`radishloom_entry_endpoints_warming 5`,
		`radishloom_streams_recorded 6`,
		`radishloom_stream_version_answers_total{kind="only_version"} 1`,
		`radishloom_config_version 9`,
		`radishloom_freshness_lease 1`,
		`radishloom_open_requests 3`,
		`radishloom_output_estimate_sum 1.2`,
		`radishloom_slot_decisions_total{kind="refused_late"} 2`,
		`radishloom_slot_waits_total{result="longer"} 3`,
	} {
		if !strings.Contains(text, want+"\n") {
			t.Errorf("missing %s in:\n%s", want, text)
		}
	}
	checkDocumentedMetrics(t, text)
}

// checkDocumentedMetrics guards against documented alarms on metrics that are not exported.
func checkDocumentedMetrics(t *testing.T, scraped string) {
	page, err := os.ReadFile("../../docs/OPERATIONS.md")
	if err != nil {
		t.Fatal(err)
	}
	for _, name := range regexp.MustCompile(`radishloom_[a-z_]+`).FindAllString(string(page), -1) {
		if !strings.Contains(scraped, "\n# TYPE "+name+" ") {
			t.Errorf("docs/OPERATIONS.md names the metric %s, which is not exported", name)
		}
	}
}

// Guards against a number of time series that grows with the names sent by callers
// or operators.
func TestLabelsAreBounded(t *testing.T) {
	m, err := NewMetrics()
	if err != nil {
		t.Fatal(err)
	}
	var customers, profiles []string
	for i := range 300 {
		customers = append(customers, fmt.Sprintf("customer-%d", i))
		profiles = append(profiles, fmt.Sprintf("profile-%d", i))
	}
	m.SetKnown(customers, profiles)
	for i := range 300 {
		for j := range 30 {
			m.Request(customers[i], profiles[j], true)
			m.Request(customers[i], profiles[j], false)
		}
		m.Retry(fmt.Sprint("reason", i))
		m.EngineOrder(fmt.Sprint("kind", i))
		m.Refusal(resultcode.Code(9000 + i))
	}
	text := scrape(t, m)
	if n := strings.Count(text, "\nradishloom_requests_total{"); n != 2*(maxCustomers+1)*(maxProfiles+1) {
		t.Errorf("%d series of requests, want %d", n, 2*(maxCustomers+1)*(maxProfiles+1))
	}
	for _, want := range []string{
		`radishloom_retries_total{reason="other"} 300`,
		`radishloom_model_moves_total{kind="other"} 300`,
		`radishloom_refusals_total{code="5005",name="internal"} 300`,
	} {
		if !strings.Contains(text, want) {
			t.Errorf("series missing from the scrape: %s", want)
		}
	}
}

// Guards against logging the secret of a caller's key or an operator's token.
func TestLoggerHidesSecrets(t *testing.T) {
	var b bytes.Buffer
	log := NewLogger(&b, slog.LevelInfo, "vm-1", "north-a")
	log.Info("request with rl_abc_SECRETSECRET",
		"token", "SECRET", "Authorization", "Bearer SECRET", "path", "/?k=rl_abc_SECRET",
		"error", errors.New("bad key rl_abc_SECRET"), "group", slog.GroupValue(slog.String("secret", "SECRET")))
	if strings.Contains(b.String(), "SECRET") {
		t.Errorf("secret in the log: %s", b.String())
	}
	if !strings.Contains(b.String(), `"vm":"vm-1","data_centre":"north-a"`) || !strings.Contains(b.String(), "rl_abc_[redacted]") {
		t.Errorf("log line without the VM, the data centre or the redacted key: %s", b.String())
	}
}
