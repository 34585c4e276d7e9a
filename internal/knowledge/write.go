package knowledge

import (
	"fmt"
	"io"

	"whinrudder"
)

// WriteReport writes a report as a table for people, with the age of each estimate.
func WriteReport(w io.Writer, r Report) {
	fmt.Fprintf(w, "node %s  life %.0f s  cores %d  warm %t  draining %t\n",
		r.Node, r.Uptime/1000, r.Cores, r.Warm, r.Draining)
	fmt.Fprintf(w, "%-24s %6s %8s %10s %8s  %s\n", "class", "runs", "age s", "core ms", "share", "usual waits ms")
	total := 0.0
	for _, c := range r.Classes {
		total += c.Share
	}
	for _, c := range r.Classes {
		share := 0.0
		if total > 0 {
			share = c.Share / total
		}
		fmt.Fprintf(w, "%-24s %6.0f %8.1f %10.1f %8.3f ", c.Name, c.Cost.N, c.Cost.Age/1000, c.Cost.Time, share)
		for _, u := range recurringWaits(c.Waits, 1) {
			fmt.Fprintf(w, " %.0f", u)
		}
		fmt.Fprintln(w)
	}
	for _, f := range []struct {
		name     string
		estimate whinrudder.Estimate
	}{{"limit a core", r.Limit}, {"pace", r.CoreShare}, {"slowness", r.Slowdown}, {"call base ms", r.BaseCallLatency}} {
		if f.estimate.N > 0 {
			fmt.Fprintf(w, "%-24s %6.0f %8.1f %10.3f\n", f.name, f.estimate.N, f.estimate.Age/1000, f.estimate.Value)
		}
	}
}
