// Package announce reports to the announce service, by one datagram a report.
package announce

import "fmt"

// IntervalMs is how often a node reports, in milliseconds: even where a quarter of the reports get lost, one of the twelve
// that fit into the 3 s after which the service takes a silent node off its list will arrive.
const IntervalMs = 250

// Report returns the datagram that tells whether a node takes requests.
func Report(name string, taking bool) []byte { return fmt.Appendf(nil, "announce %s %t", name, taking) }
