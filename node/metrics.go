package node

import (
	"context"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"go.opentelemetry.io/otel/attribute"
	promexport "go.opentelemetry.io/otel/exporters/prometheus"
	"go.opentelemetry.io/otel/metric"
	sdk "go.opentelemetry.io/otel/sdk/metric"

	"github.com/embercove/embercove/clock"
	"github.com/embercove/embercove/entry"
	"github.com/embercove/embercove/meter"
	"github.com/embercove/embercove/route"
)

// metrics are the node's OpenTelemetry instruments, exported to Prometheus. Each
// reads its value from the tables when it is scraped; none keeps a copy. No label
// holds a team, as there may be many.
type metrics struct {
	provider *sdk.MeterProvider
	handler  http.Handler
}

func newMetrics(n *Node) (*metrics, error) {
	reg := prometheus.NewRegistry()
	reg.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	exp, err := promexport.New(promexport.WithRegisterer(reg), promexport.WithNamespace("embercove"))
	if err != nil {
		return nil, errors.Wrap(err, "metrics")
	}
	m := &metrics{provider: sdk.NewMeterProvider(sdk.WithReader(exp)), handler: promhttp.HandlerFor(reg, promhttp.HandlerOpts{})}
	return m, errors.Wrap(registerMetrics(n, m.provider.Meter("embercove")), "metrics")
}

func (m *metrics) close() { _ = m.provider.Shutdown(context.Background()) }

// gauge is a metric without labels; it is a counter if isCounter is set.
type gauge struct {
	name, help string
	isCounter  bool
	read       func() float64
}

func gauges(n *Node) []gauge {
	return []gauge{
		{"requests_in_progress", "requests in progress on this host", false, func() float64 { return float64(n.Board.Requests.Len()) }},
		{"config_revision", "revision in force", false, func() float64 { return float64(n.Board.Config.Revision()) }},
		{"keys_remembered", "idempotency keys remembered", false, func() float64 { return float64(n.Board.Keys.Len()) }},
		{"control_bytes_in", "bytes received from peers", true, func() float64 { return float64(n.Router.Traffic.In.Load()) }},
		{"control_bytes_out", "bytes sent to peers", true, func() float64 { return float64(n.Router.Traffic.Out.Load()) }},
		{"config_behind_seconds", "since another host was first known to have a later revision in force; 0: none is known", false, func() float64 {
			return n.Board.Config.Behind(time.Now()).Seconds()
		}},
		{"quotas_held", "teams whose quotas this host holds in its failure domain", false, func() float64 { return float64(len(n.Board.Quotas.List(time.Now()))) }},
		{"fetches_done", "fetches from peers that were answered", true, func() float64 { return float64(n.Router.Fetches.Done.Load()) }},
		{"fetches_failed", "fetches from peers that were not answered in time", true, func() float64 { return float64(n.Router.Fetches.Failed.Load()) }},
		{"fetched_documents", "documents that peers sent, repeated ones included", true, func() float64 { return float64(n.Router.Fetches.Documents.Load()) }},
		{"store_bytes_in", "bytes received from the platform's store", true, func() float64 { return float64(n.storeTraffic.In.Load()) }},
		{"control_calls", "calls made to peers", true, func() float64 { return float64(n.Router.Traffic.Calls.Load()) }},
		{"endpoint_control_bytes", "bytes sent to and received from endpoints for control", true, func() float64 {
			return float64(n.Client.Control.In.Load() + n.Client.Control.Out.Load())
		}},
		{"endpoint_polls", "control calls made to endpoints", true, func() float64 { return float64(n.Owner.Polls.Load()) }},
		{"suspects", "requests in a stage that ends of endpoints were noted for, cleared ones among them", false, func() float64 { return float64(n.Board.Suspects.Len()) }},
		{"ends_noted", "ends of endpoints that this host noted against requests", true, func() float64 { return float64(n.Board.Suspects.Counts().Crashes) }},
		{"suspects_cleared", "requests that this host cleared by a whole answer", true, func() float64 { return float64(n.Board.Suspects.Counts().Cleared) }},
		{"suspects_refused", "requests refused as ending endpoints", true, func() float64 { return float64(n.Board.Suspects.Counts().Refused) }},
		{"trials_given", "trials of suspected requests that this host gave out", true, func() float64 { return float64(n.Board.Suspects.Counts().Probes) }},
		{"suspects_evicted", "marks that were forgotten for want of room", true, func() float64 { return float64(n.Board.Suspects.Counts().Evicted) }},
		{"part_crashes", "crashes of endpoints that are kept with the parts of prompts that were there", false, func() float64 { return float64(n.Board.Parts.Len()) }},
		{"parts_refused", "requests refused for a part of their prompt", true, func() float64 { return float64(n.Board.Parts.Refused()) }},
		{"versions_known", "answers of which this host knows the software version that began them", false, func() float64 { return float64(n.Board.Versions.Len()) }},
		{"versions_evicted", "answers whose software version was forgotten for lack of room", true, func() float64 { return float64(n.Board.Versions.Counts().Evicted) }},
		{"versions_ambiguous", "answers that several software versions were said to have begun", true, func() float64 { return float64(n.Board.Versions.Counts().Ambiguous) }},
		{"answers_taken_up", "answers that callers took up at the software version that began them", true, func() float64 { return float64(n.entry.Versions.TakenUp.Load()) }},
		{"answers_version_unknown", "answers refused, as it isn't known which software version began them", true, func() float64 { return float64(n.entry.Versions.Unknown.Load()) }},
		{"answers_version_gone", "answers refused, as no endpoint runs the software version that began them", true, func() float64 { return float64(n.entry.Versions.Gone.Load()) }},
		{"orphans_cancelled", "orphaned attempts cancelled at endpoints", true, func() float64 { return float64(n.Owner.Reaped.Load()) }},
		{"starts_given", "starts at endpoints that are cold or name a limit, given out by this host", true, func() float64 { return float64(n.Owner.Permits.Granted.Load()) }},
		{"starts_refused", "asks for a start that this host refused", true, func() float64 { return float64(n.Owner.Permits.Refused.Load()) }},
		{"starts_alone", "starts that this host gave itself while an endpoint's owner was out of reach", true, func() float64 { return float64(n.Owner.Permits.Isolated.Load()) }},
		{"calls_unstarted", "calls of this host for which there was no start in time", true, func() float64 { return float64(n.entry.WithoutPermit.Load()) }},
		{"calls_limited", "calls of this host to endpoints that named a limit", true, func() float64 { return float64(n.entry.NoticeCounts.Limited.Load()) }},
		{"calls_leaving", "calls of this host to endpoints that had told it that they leave", true, func() float64 { return float64(n.entry.NoticeCounts.Leaving.Load()) }},
		{"calls_resting", "calls of this host to endpoints that wanted no request of it", true, func() float64 { return float64(n.entry.NoticeCounts.BackingOff.Load()) }},
		{"limits_unreadable", "limits that endpoints named and that can't be read", true, func() float64 { return float64(n.entry.NoticeCounts.BadLimits.Load()) }},
		{"rests_unreadable", "rests that endpoints asked for and that can't be read", true, func() float64 { return float64(n.entry.NoticeCounts.BadBackoffs.Load()) }},
		{"orders_sent", "orders sent to endpoints", true, func() float64 { return float64(n.Owner.Orders.Load()) }},
		{"takeovers", "endpoints taken over", true, func() float64 { return float64(n.Owner.Takeovers.Load()) }},
		{"copies_begun", "answers that began with a place for a copy of their memory", true, func() float64 { return float64(n.entry.Replicas.Started.Load()) }},
		{"copies_without_room", "answers that should have had a copy and for which no engine had room", true, func() float64 { return float64(n.entry.Replicas.NoCapacity.Load()) }},
		{"copies_taken_up", "answers that went on from a copy and ended whole", true, func() float64 { return float64(n.entry.Replicas.Resumed.Load()) }},
		{"copies_gone", "answers that were to go on from a copy that was not there", true, func() float64 { return float64(n.entry.Replicas.Missing.Load()) }},
		{"copied_prompt_tokens", "tokens of prompts whose memory was to be copied", true, func() float64 { return float64(n.entry.Replicas.PromptTokens.Load()) }},
		{"intake_shut", "times that callers were held off", true, func() float64 { return float64(n.Board.Intake.Status(time.Now()).ShutCount) }},
		{"intake_shut_seconds", "for which callers were held off", true, func() float64 { return n.Board.Intake.Status(time.Now()).ShutSeconds }},
		{"intake_refused", "requests refused as callers were held off, without refused connections", true, func() float64 { return float64(n.Board.Intake.Status(time.Now()).Refused) }},
		{"intake_window", "requests that may arrive at a time; 0: any number", false, func() float64 { return float64(n.Board.Intake.Status(time.Now()).Window) }},
		{"intake_memory_bytes", "memory that callers make this host hold", false, func() float64 { return float64(n.Board.Intake.Memory.Status().HeldBytes) }},
		{"intake_memory_limit_bytes", "memory that callers may make this host hold", false, func() float64 { return float64(n.Board.Intake.Memory.Status().LimitBytes) }},
		{"intake_memory_refused", "times that there was no memory for what a caller sent", true, func() float64 { return float64(n.Board.Intake.Memory.Status().Refused) }},
		{"intake_evicted", "connections of callers that were given up for others", true, func() float64 { return float64(n.Board.Intake.Memory.Status().Evicted) }},
		{"intake_unread", "writes to callers that timed out, as they read nothing", true, func() float64 { return float64(n.Board.Intake.Memory.Status().Unread) }},
		{"intake_delay_seconds", "delay of calls to other hosts beyond their fastest round trip, if it was just measured", false, func() float64 { return n.Board.Intake.Delay(time.Now()).Seconds() }},
		{"pauses", "pauses of the process that were noticed", true, func() float64 { return float64(n.Board.Pause.Count()) }},
		{"suspended_seconds", "for which the machine was suspended since the process started", true, func() float64 { return clock.Suspended().Seconds() }},
		{"requests_good", "requests answered within both targets", true, func() float64 { return float64(n.Recorder.Totals().Good) }},
		{"requests_judged", "requests that count against the objective", true, func() float64 {
			s := n.Recorder.Totals()
			return float64(s.Good + s.Late + s.Bad)
		}},
		{"prefill_tokens", "prompt tokens read", true, func() float64 { return float64(n.Recorder.Totals().Prefilled) }},
		{"prefill_tokens_wasted", "prompt tokens read for no answer", true, func() float64 { return float64(n.Recorder.Totals().Wasted) }},
		{"log_lines_dropped", "log lines dropped because the output was not read", true, func() float64 { return n.logCount(LogCounter.Dropped) }},
		{"log_lines_written", "log lines written", true, func() float64 { return n.logCount(LogCounter.Written) }},
		{"log_lines_left_out", "log lines of requests left out to bound their number", true, func() float64 { return float64(n.entry.LogLinesDropped()) }},
		{"roster_revision", "revision of the endpoints that registered themselves", false, func() float64 { return float64(n.Board.Config.RosterRevision().Revision()) }},
		{"roster_era", "how often the store has come back from a copy, by its own count", false, func() float64 { return float64(n.Board.Config.RosterRevision().Era()) }},
		{"platform_silent_seconds", "since the platform was last heard of", false, func() float64 { return n.Board.Config.Status(time.Now()).PlatformSilentSeconds }},
		{"hosts_live", "hosts that count as live", false, func() float64 { return n.liveHosts() }},
		{"answer_tokens", "tokens relayed to callers", true, func() float64 { return float64(n.Recorder.Totals().Tokens) }},
	}
}

func (n *Node) logCount(count func(LogCounter) uint64) float64 {
	if n.logCounter == nil {
		return 0
	}
	return float64(count(n.logCounter))
}

func (n *Node) liveHosts() float64 {
	now, live := time.Now(), 0
	for _, h := range n.Board.Hosts.List() {
		if n.Board.Hosts.Live(h, now) {
			live++
		}
	}
	return float64(live)
}

func registerMetrics(n *Node, meter metric.Meter) error {
	for _, g := range slices.Concat(gauges(n), evacuationGauges(n), pathGauges(n)) {
		cb := func(_ context.Context, o metric.Float64Observer) error {
			o.Observe(g.read())
			return nil
		}
		var err error
		if g.isCounter {
			_, err = meter.Float64ObservableCounter(g.name, metric.WithDescription(g.help), metric.WithFloat64Callback(cb))
		} else {
			_, err = meter.Float64ObservableGauge(g.name, metric.WithDescription(g.help), metric.WithFloat64Callback(cb))
		}
		if err != nil {
			return err
		}
	}
	if err := registerRegions(n, meter); err != nil {
		return err
	}
	return registerLabelled(n, meter)
}

// observeBuckets reports a histogram as cumulative counts.
func observeBuckets(o metric.Float64Observer, row entry.Latency) {
	cumulative := uint64(0)
	for i, count := range row.Counts {
		cumulative += count
		le := "+Inf"
		if i < len(row.Bounds()) {
			le = strconv.FormatFloat(row.Bounds()[i], 'g', -1, 64)
		}
		o.Observe(float64(cumulative), metric.WithAttributes(attribute.String("kind", row.Kind.String()), attribute.String("le", le)))
	}
}

// registerPurposes registers the counters of traffic with other hosts, by purpose.
func registerPurposes(n *Node, m metric.Meter) error {
	for _, g := range []struct {
		name, help string
		read       func(s *meter.PurposeCounters) uint64
	}{
		{"peer_bytes_in", "bytes of messages received from other hosts, by what for", func(s *meter.PurposeCounters) uint64 { return s.In.Load() }},
		{"peer_bytes_out", "bytes of messages sent to other hosts, by what for", func(s *meter.PurposeCounters) uint64 { return s.Out.Load() }},
		{"peer_calls_made", "calls made to other hosts, by what for", func(s *meter.PurposeCounters) uint64 { return s.Made.Load() }},
		{"peer_calls_answered", "calls of other hosts answered, by what for", func(s *meter.PurposeCounters) uint64 { return s.Answered.Load() }},
	} {
		_, err := m.Float64ObservableCounter(g.name, metric.WithDescription(g.help), metric.WithFloat64Callback(func(_ context.Context, o metric.Float64Observer) error {
			for _, p := range meter.Purposes() {
				o.Observe(float64(g.read(n.Router.PurposeTraffic.Of(p))), metric.WithAttributes(attribute.String("purpose", p.String())))
			}
			return nil
		}))
		if err != nil {
			return err
		}
	}
	return nil
}

// registerLabelled registers the metrics with labels. Each label takes few values.
func registerLabelled(n *Node, meter metric.Meter) error {
	if err := registerPurposes(n, meter); err != nil {
		return err
	}
	_, err := meter.Float64ObservableCounter("requests_ended", metric.WithDescription("requests ended, by result code"),
		metric.WithFloat64Callback(func(_ context.Context, o metric.Float64Observer) error {
			for code, c := range n.Board.Requests.Ended() {
				o.Observe(float64(c), metric.WithAttributes(attribute.String("code", code.String())))
			}
			return nil
		}))
	if err != nil {
		return err
	}
	_, err = meter.Float64ObservableCounter("invariant_broken", metric.WithDescription("invariants found broken"),
		metric.WithFloat64Callback(func(_ context.Context, o metric.Float64Observer) error {
			for name, c := range n.Board.Invariant.Counts() {
				o.Observe(float64(c), metric.WithAttributes(attribute.String("invariant", string(name))))
			}
			return nil
		}))
	if err != nil {
		return err
	}
	_, err = meter.Float64ObservableCounter("requests_barred", metric.WithDescription("requests, or calls of them, that endpoints were barred from, by what barred most"),
		metric.WithFloat64Callback(func(_ context.Context, o metric.Float64Observer) error {
			for _, b := range route.Reasons() {
				o.Observe(float64(n.entry.IneligibleCount(b)), metric.WithAttributes(attribute.String("reason", b.Label())))
			}
			return nil
		}))
	if err != nil {
		return err
	}
	_, err = meter.Float64ObservableCounter("latency_bucket", metric.WithDescription("answers by kind whose first piece came within le seconds, cumulative"),
		metric.WithFloat64Callback(func(_ context.Context, o metric.Float64Observer) error {
			for _, row := range n.entry.Latency.All() {
				observeBuckets(o, row)
			}
			return nil
		}))
	if err != nil {
		return err
	}
	_, err = meter.Float64ObservableGauge("latency_ms", metric.WithDescription("quantiles since the start of the process"),
		metric.WithFloat64Callback(func(_ context.Context, o metric.Float64Observer) error {
			ttft, tpot := n.Recorder.Latencies()
			for _, q := range []struct {
				of, quantile string
				v            float64
			}{{"ttft", "0.5", ttft.P50}, {"ttft", "0.95", ttft.P95}, {"ttft", "0.99", ttft.P99},
				{"tpot", "0.5", tpot.P50}, {"tpot", "0.95", tpot.P95}, {"tpot", "0.99", tpot.P99}} {
				o.Observe(q.v, metric.WithAttributes(attribute.String("of", q.of), attribute.String("quantile", q.quantile)))
			}
			return nil
		}))
	return err
}
