package anvilmetric

import (
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	prom "github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	promreporter "github.com/uber-go/tally/v4/prometheus"
)

// reportInterval is how often tally hands values to the Prometheus registry.
const reportInterval = time.Second

// labelSeparator joins label values in cache keys; it cannot occur in names
// that the configuration accepts.
const labelSeparator = "\x00"

// Config sets up Metrics.
type Config struct {
	// OnError receives failures to register a metric; nil ignores them.
	OnError func(error)
}

// Metrics records the values of the definitions. It is safe for concurrent use.
type Metrics struct {
	scope    tally.Scope
	closer   io.Closer
	handler  http.Handler
	counters sync.Map
	gauges   sync.Map
	series   sync.Map
}

// New returns metrics with a registry of their own.
func New(c Config) *Metrics {
	registry := prom.NewRegistry()
	reporter := promreporter.NewReporter(promreporter.Options{
		Registerer: registry,
		Gatherer:   registry,
		OnRegisterError: func(err error) {
			if c.OnError != nil {
				c.OnError(err)
			}
		},
	})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:                 "anvilbridge",
		CachedReporter:         reporter,
		Separator:              promreporter.DefaultSeparator,
		OmitCardinalityMetrics: true,
	}, reportInterval)
	return &Metrics{
		scope:   scope,
		closer:  closer,
		handler: reporter.HTTPHandler(),
	}
}

// Close stops reporting.
func (m *Metrics) Close() error {
	return m.closer.Close()
}

// Handler serves the metrics in Prometheus text form.
func (m *Metrics) Handler() http.Handler {
	return m.handler
}

// Add increases a counter. There is one value for each label of the definition.
func (m *Metrics) Add(d Definition, delta int64, values ...string) {
	key := seriesKey(d, values)
	counter, ok := m.counters.Load(key)
	if !ok {
		counter, _ = m.counters.LoadOrStore(key, m.tagged(d, values).Counter(d.Name))
	}
	counter.(tally.Counter).Inc(delta)
}

// Set sets a gauge.
func (m *Metrics) Set(d Definition, value float64, values ...string) {
	key := seriesKey(d, values)
	gauge, ok := m.gauges.Load(key)
	if !ok {
		gauge, _ = m.gauges.LoadOrStore(key, m.tagged(d, values).Gauge(d.Name))
	}
	gauge.(tally.Gauge).Update(value)
}

// ObserveDuration adds a duration to a histogram in seconds.
func (m *Metrics) ObserveDuration(d Definition, value time.Duration, values ...string) {
	m.histogram(d, durationBuckets, values).RecordDuration(value)
}

// ObserveRatio adds a value from 0 to 1 to a histogram.
func (m *Metrics) ObserveRatio(d Definition, value float64, values ...string) {
	m.histogram(d, ratioBuckets, values).RecordValue(value)
}

func (m *Metrics) histogram(d Definition, buckets tally.Buckets, values []string) tally.Histogram {
	key := seriesKey(d, values)
	histogram, ok := m.series.Load(key)
	if !ok {
		histogram, _ = m.series.LoadOrStore(key, m.tagged(d, values).Histogram(d.Name, buckets))
	}
	return histogram.(tally.Histogram)
}

func (m *Metrics) tagged(d Definition, values []string) tally.Scope {
	if len(d.Labels) == 0 {
		return m.scope
	}
	tags := make(map[string]string, len(d.Labels))
	for i, label := range d.Labels {
		if i < len(values) {
			tags[label] = values[i]
		}
	}
	return m.scope.Tagged(tags)
}

func seriesKey(d Definition, values []string) string {
	switch len(values) {
	case 0:
		return d.Name
	case 1:
		return d.Name + labelSeparator + values[0]
	default:
		return d.Name + labelSeparator + strings.Join(values, labelSeparator)
	}
}

// The buckets are dense around the targets of 60 to 110 ms.
var durationBuckets = tally.DurationBuckets{
	time.Millisecond, 2 * time.Millisecond, 5 * time.Millisecond, 10 * time.Millisecond,
	20 * time.Millisecond, 30 * time.Millisecond, 40 * time.Millisecond, 50 * time.Millisecond,
	60 * time.Millisecond, 70 * time.Millisecond, 80 * time.Millisecond, 90 * time.Millisecond,
	100 * time.Millisecond, 110 * time.Millisecond, 130 * time.Millisecond, 200 * time.Millisecond,
	500 * time.Millisecond, time.Second, 2 * time.Second, 5 * time.Second,
}

var ratioBuckets = tally.ValueBuckets{0, 0.25, 0.5, 0.75, 0.8, 0.85, 0.9, 0.95, 0.98, 0.99, 0.999, 1}
