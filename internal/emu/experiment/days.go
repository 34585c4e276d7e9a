package experiment

import (
	"embed"
	"strings"
)

//go:embed days/*.jsonnet
var days embed.FS

// Families lists the names of the kinds of days that ship with the kit, in order.
func Families() []string {
	return []string{"calm", "burst", "crash", "crawl", "deploy", "overload", "cold", "storm", "budget", "fastest", "partition", "stall", "eid", "collapse"}
}

// FamilySource returns the file of a family that ships with the kit; ok is false if there is none.
func FamilySource(family string) (text []byte, ok bool) {
	b, err := days.ReadFile("days/" + strings.TrimSuffix(family, ".jsonnet") + ".jsonnet")
	return b, err == nil
}
