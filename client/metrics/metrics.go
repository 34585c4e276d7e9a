// Package metrics exports Prometheus metrics of a client: Metrics is a collector to register, and its Hooks belong in
// client.Options.
package metrics

import (
	"errors"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"whinrudder/client"
)

// Metrics is a prometheus.Collector for the tries and calls of clients. Create it with New; the zero value is not
// usable.
type Metrics struct {
	tries *prometheus.CounterVec   // whinrudder_client_tries_total by class and kind (first, retry, hedge)
	ends  *prometheus.CounterVec   // whinrudder_client_outcomes_total by class and outcome (see client.Try)
	calls *prometheus.HistogramVec // whinrudder_client_call_seconds by class and result (ok or the client.Reason)
}

// New returns metrics that are not registered yet.
func New() *Metrics {
	return &Metrics{
		tries: prometheus.NewCounterVec(prometheus.CounterOpts{Name: "whinrudder_client_tries_total",
			Help: "Tries that went out."}, []string{"class", "kind"}),
		ends: prometheus.NewCounterVec(prometheus.CounterOpts{Name: "whinrudder_client_outcomes_total",
			Help: "Ends of tries."}, []string{"class", "outcome"}),
		calls: prometheus.NewHistogramVec(prometheus.HistogramOpts{Name: "whinrudder_client_call_seconds",
			Help: "Time of calls.", Buckets: prometheus.ExponentialBuckets(0.005, 2, 12)}, []string{"class", "result"}),
	}
}

// Describe implements prometheus.Collector.
func (m *Metrics) Describe(c chan<- *prometheus.Desc) {
	for _, v := range []prometheus.Collector{m.tries, m.ends, m.calls} {
		v.Describe(c)
	}
}

// Collect implements prometheus.Collector.
func (m *Metrics) Collect(c chan<- prometheus.Metric) {
	for _, v := range []prometheus.Collector{m.tries, m.ends, m.calls} {
		v.Collect(c)
	}
}

// Hooks returns the hooks that update the metrics. They may be shared by several clients.
func (m *Metrics) Hooks() client.Hooks {
	return client.Hooks{
		Try: func(class, _ string, retry, hedge bool) {
			kind := "first"
			if hedge {
				kind = "hedge"
			} else if retry {
				kind = "retry"
			}
			m.tries.WithLabelValues(class, kind).Inc()
		},
		End: func(class, _, outcome string, _ time.Duration) { m.ends.WithLabelValues(class, outcome).Inc() },
		Call: func(class string, _ int, err error, took time.Duration) {
			result := "ok"
			var callErr *client.Error
			if errors.As(err, &callErr) {
				result = callErr.Reason.String()
			}
			m.calls.WithLabelValues(class, result).Observe(took.Seconds())
		},
	}
}
