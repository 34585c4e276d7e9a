// Package metrics counts what a client does, for Prometheus: hooks for client.Options, and collectors to register.
package metrics

import (
	"errors"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"whinrudder/client"
)

// Metrics are the collectors of a client.
type Metrics struct {
	tries *prometheus.CounterVec   // by class, kind (first, retry, hedge)
	ends  *prometheus.CounterVec   // by class, outcome
	calls *prometheus.HistogramVec // seconds, by class, result
}

// New returns collectors that are not yet registered.
func New() *Metrics {
	return &Metrics{
		tries: prometheus.NewCounterVec(prometheus.CounterOpts{Name: "whinrudder_client_tries_total", Help: "Tries that went out."}, []string{"class", "kind"}),
		ends:  prometheus.NewCounterVec(prometheus.CounterOpts{Name: "whinrudder_client_outcomes_total", Help: "Ends of tries."}, []string{"class", "outcome"}),
		calls: prometheus.NewHistogramVec(prometheus.HistogramOpts{Name: "whinrudder_client_call_seconds", Help: "Time of calls.",
			Buckets: prometheus.ExponentialBuckets(0.005, 2, 12)}, []string{"class", "result"}),
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

// Hooks returns what counts.
func (m *Metrics) Hooks() client.Hooks {
	return client.Hooks{
		Try: func(class, _ string, again, hedge bool) {
			kind := "first"
			if hedge {
				kind = "hedge"
			} else if again {
				kind = "retry"
			}
			m.tries.WithLabelValues(class, kind).Inc()
		},
		End: func(class, _, outcome string, _ time.Duration) { m.ends.WithLabelValues(class, outcome).Inc() },
		Call: func(class string, _ int, err error, took time.Duration) {
			result := "ok"
			var fault *client.Error
			if errors.As(err, &fault) {
				result = fault.Reason.String()
			}
			m.calls.WithLabelValues(class, result).Observe(took.Seconds())
		},
	}
}
