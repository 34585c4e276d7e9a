package settings

import (
	"fmt"

	"github.com/agnivade/levenshtein"
	"github.com/urfave/cli/v3"
)

// UnknownCommandError returns an error for a sub-command that does not exist. It suggests the command with the most
// similar name.
func UnknownCommandError(c *cli.Command, word string) error {
	var names []string
	for _, s := range c.Commands {
		names = append(names, s.Name)
	}
	return fmt.Errorf("no command %q%s", word, Suggestion(word, names))
}

// Suggestion returns ", did you mean ...?" with the known word of the least edit distance to word, or an empty string
// if no known word is similar.
func Suggestion(word string, known []string) string {
	best, bestDistance := "", len(word)/2+1
	for _, k := range known {
		if d := levenshtein.ComputeDistance(word, k); d < bestDistance {
			best, bestDistance = k, d
		}
	}
	if best == "" {
		return ""
	}
	return fmt.Sprintf(", did you mean %q?", best)
}
