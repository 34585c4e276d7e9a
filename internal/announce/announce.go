// Package announce formats the reports to the announce service, which lists the nodes that accept requests.
// Each report is one datagram.
package announce

import "fmt"

// IntervalMs is how often a node reports. The service removes a node from its list after 3 s without a report.
// Twelve reports fit into that time, so at least one arrives even if a quarter of the reports are lost.
const IntervalMs = 250

// Report returns the datagram that says whether a node accepts requests.
func Report(name string, accepting bool) []byte {
	return fmt.Appendf(nil, "announce %s %t", name, accepting)
}
