package experiment

import (
	"embed"
	"strings"
)

// dayFiles holds the experiment files that are built into the kit.
//
//go:embed days/*.jsonnet
var dayFiles embed.FS

// Families returns the names of the families of days that are built into the kit, in display order.
func Families() []string {
	return []string{"calm", "burst", "crash", "crawl", "deploy", "overload", "cold", "storm", "budget", "fastest",
		"partition", "stall", "eid", "collapse"}
}

// FamilySource returns the experiment file of a built-in family. The suffix .jsonnet of the name is optional; ok is
// false for an unknown family.
func FamilySource(family string) (text []byte, ok bool) {
	b, err := dayFiles.ReadFile("days/" + strings.TrimSuffix(family, ".jsonnet") + ".jsonnet")
	return b, err == nil
}
