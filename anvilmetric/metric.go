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

// reportInterval is the interval at which tally passes values to the Prometheus
// registry.
const reportInterval = time.Second

// labelSeparator separates label values in cache keys. The configuration rejects names
// that contain it.
const labelSeparator = "\x00"

// Config sets up Metrics.
type Config struct {
	// OnError is called if a metric cannot be registered. If it is nil, the error is
	// ignored.
	OnError func(error)
}

// Metrics records the values of the defined metrics. It is safe for concurrent use.
type Metrics struct {
	scope      tally.Scope
	closer     io.Closer
	handler    http.Handler
	counters   sync.Map
	gauges     sync.Map
	histograms sync.Map
}

// New returns Metrics with a separate Prometheus registry.
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

// Handler returns a handler that serves the metrics in the Prometheus text format.
func (m *Metrics) Handler() http.Handler {
	return m.handler
}

// Add increases a counter. It takes one label value for each label of the definition,
// in the same order, as do the other methods.
func (m *Metrics) Add(d Definition, delta int64, labelValues ...string) {
	key := seriesKey(d, labelValues)
	counter, ok := m.counters.Load(key)
	if !ok {
		counter, _ = m.counters.LoadOrStore(key, m.scopeWithLabels(d, labelValues).Counter(d.Name))
	}
	counter.(tally.Counter).Inc(delta)
}

// Set sets a gauge.
func (m *Metrics) Set(d Definition, value float64, labelValues ...string) {
	key := seriesKey(d, labelValues)
	gauge, ok := m.gauges.Load(key)
	if !ok {
		gauge, _ = m.gauges.LoadOrStore(key, m.scopeWithLabels(d, labelValues).Gauge(d.Name))
	}
	gauge.(tally.Gauge).Update(value)
}

// ObserveDuration adds a duration to a histogram whose unit is seconds.
func (m *Metrics) ObserveDuration(d Definition, value time.Duration, labelValues ...string) {
	m.histogram(d, durationBuckets, labelValues).RecordDuration(value)
}

// ObserveRatio adds a value from 0 to 1 to a histogram.
func (m *Metrics) ObserveRatio(d Definition, value float64, labelValues ...string) {
	m.histogram(d, ratioBuckets, labelValues).RecordValue(value)
}

func (m *Metrics) histogram(d Definition, buckets tally.Buckets, labelValues []string) tally.Histogram {
	key := seriesKey(d, labelValues)
	histogram, ok := m.histograms.Load(key)
	if !ok {
		histogram, _ = m.histograms.LoadOrStore(key, m.scopeWithLabels(d, labelValues).Histogram(d.Name, buckets))
	}
	return histogram.(tally.Histogram)
}

func (m *Metrics) scopeWithLabels(d Definition, labelValues []string) tally.Scope {
	if len(d.Labels) == 0 {
		return m.scope
	}
	tags := make(map[string]string, len(d.Labels))
	for i, label := range d.Labels {
		if i < len(labelValues) {
			tags[label] = labelValues[i]
		}
	}
	return m.scope.Tagged(tags)
}

func seriesKey(d Definition, labelValues []string) string {
	switch len(labelValues) {
	case 0:
		return d.Name
	case 1:
		return d.Name + labelSeparator + labelValues[0]
	default:
		return d.Name + labelSeparator + strings.Join(labelValues, labelSeparator)
	}
}

// durationBuckets has narrow buckets around the latency targets of 60 to 110 ms.
var durationBuckets = tally.DurationBuckets{
	time.Millisecond, 2 * time.Millisecond, 5 * time.Millisecond, 10 * time.Millisecond,
	20 * time.Millisecond, 30 * time.Millisecond, 40 * time.Millisecond, 50 * time.Millisecond,
	60 * time.Millisecond, 70 * time.Millisecond, 80 * time.Millisecond, 90 * time.Millisecond,
	100 * time.Millisecond, 110 * time.Millisecond, 130 * time.Millisecond, 200 * time.Millisecond,
	500 * time.Millisecond, time.Second, 2 * time.Second, 5 * time.Second,
}

var ratioBuckets = tally.ValueBuckets{0, 0.25, 0.5, 0.75, 0.8, 0.85, 0.9, 0.95, 0.98, 0.99, 0.999, 1}
