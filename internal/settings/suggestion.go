package settings

import (
	"fmt"

	"github.com/agnivade/levenshtein"
	"github.com/urfave/cli/v3"
)

// UnknownCommandError names a sub-command that does not exist, and the nearest that does.
func UnknownCommandError(c *cli.Command, word string) error {
	var names []string
	for _, s := range c.Commands {
		names = append(names, s.Name)
	}
	return fmt.Errorf("no command %q%s", word, Suggestion(word, names))
}

// Suggestion returns a remark that names the known word that is nearest to one, or nothing if none is near.
func Suggestion(word string, known []string) string {
	best, least := "", len(word)/2+1
	for _, k := range known {
		if d := levenshtein.ComputeDistance(word, k); d < least {
			best, least = k, d
		}
	}
	if best == "" {
		return ""
	}
	return fmt.Sprintf(", did you mean %q?", best)
}
