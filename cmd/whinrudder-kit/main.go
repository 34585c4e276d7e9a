// Command whinrudder-kit ships with the payout node but runs in its own process: it evaluates templates for the node,
// runs the lab of experiments and contains a client proxy. The commands lab and proxy of whinrudder start it.
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

// maxTemplateDataBytes is the limit on the data segment of an evaluation; the process ends if it exceeds the limit. A
// template of 256 KiB, the maximum, needs a small part of it.
const maxTemplateDataBytes = 512 << 20

func main() {
	if err := app(os.Stdout).Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "whinrudder-kit:", err)
		os.Exit(1)
	}
}

// app returns the command line. Its commands write their output to out.
func app(out io.Writer) *cli.Command {
	return &cli.Command{Name: "whinrudder-kit", Writer: out, Usage: "the rehearsal kit of the payout node",
		Action: helpOrUnknownCommand,
		Commands: []*cli.Command{
			{Name: "template",
				Usage:     "print the value of the template on standard input, with imports relative to FILE",
				ArgsUsage: "FILE", Action: func(_ context.Context, c *cli.Command) error {
					limit := syscall.Rlimit{Cur: maxTemplateDataBytes, Max: maxTemplateDataBytes}
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

// helpOrUnknownCommand is the action of a command that needs a sub-command: it shows the help if there is none, and
// reports an error if the sub-command does not exist.
func helpOrUnknownCommand(_ context.Context, c *cli.Command) error {
	if word := c.Args().First(); word != "" {
		return settings.UnknownCommandError(c, word)
	}
	return cli.ShowSubcommandHelp(c)
}
