// Command whinrudder-kit is what ships beside the payout node and is no part of it: the evaluation of templates, which
// the node asks for, and the lab, which its command lab hands over to.
package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"syscall"

	"github.com/urfave/cli/v3"

	"whinrudder/internal/settings"
	"whinrudder/internal/template"
)

// memory is the data that an evaluation may hold; past it the process ends. A template of 256 KiB needs a small part.
const memory = 512 << 20

func main() {
	if err := app(os.Stdout).Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "whinrudder-kit:", err)
		os.Exit(1)
	}
}

func app(out io.Writer) *cli.Command {
	return &cli.Command{Name: "whinrudder-kit", Writer: out, Usage: "the rehearsal kit of the payout node", Action: missing,
		Commands: []*cli.Command{
			{Name: "template", Usage: "print the value of the template that is read, as if it stood in a file",
				ArgsUsage: "FILE", Action: func(_ context.Context, c *cli.Command) error {
					limit := syscall.Rlimit{Cur: memory, Max: memory}
					if err := syscall.Setrlimit(syscall.RLIMIT_DATA, &limit); err != nil {
						return err
					}
					text, err := io.ReadAll(io.LimitReader(os.Stdin, template.MaxFileBytes+1))
					if err != nil {
						return err
					}
					json, err := template.Evaluate(text, c.Args().First())
					if err == nil {
						_, err = io.WriteString(out, json)
					}
					return err
				}},
			labCommand(out),
			proxyCommand(out),
		}}
}

// missing is the action where a sub-command is wanted: without one, or with one that does not exist.
func missing(_ context.Context, c *cli.Command) error {
	if word := c.Args().First(); word != "" {
		return settings.UnknownCommandError(c, word)
	}
	return cli.ShowSubcommandHelp(c)
}
