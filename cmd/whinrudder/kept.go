package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/urfave/cli/v3"

	"whinrudder/internal/clock"
	"whinrudder/internal/journal"
	"whinrudder/internal/kept"
	"whinrudder/internal/settings"
)

// keptCommand lists and shows the operations whose results are kept, and resolves those in doubt.
func keptCommand(out io.Writer) *cli.Command {
	dir := &cli.StringFlag{Name: "dir", Usage: "folder of the journal", Required: true}
	withContents := func(action func(contents *kept.Contents, c *cli.Command) error) cli.ActionFunc {
		return func(_ context.Context, c *cli.Command) error {
			if _, err := os.Stat(c.String("dir")); err != nil {
				return err
			}
			contents, err := kept.ReadContents(c.String("dir"))
			if err != nil {
				return err
			}
			return action(contents, c)
		}
	}
	return &cli.Command{Name: "kept",
		Usage: "look at kept operations and resolve those in doubt, offline or beside a running node",
		Action: func(_ context.Context, c *cli.Command) error {
			if word := c.Args().First(); word != "" {
				return settings.UnknownCommandError(c, word)
			}
			return errors.New("kept: want a sub-command: list, show, export, verify or resolve")
		},
		Commands: []*cli.Command{
			{Name: "list", Usage: "a line for each operation", Flags: []cli.Flag{dir,
				&cli.StringFlag{Name: "state", Usage: "only those: in-doubt, finished or failed"}},
				Action: withContents(func(contents *kept.Contents, c *cli.Command) error {
					contents.List(out, c.String("state"))
					return nil
				})},
			{Name: "show", Usage: "one operation, with its result", ArgsUsage: "KEY", Flags: []cli.Flag{dir},
				Action: withContents(func(contents *kept.Contents, c *cli.Command) error {
					return contents.Show(out, c.Args().First())
				})},
			{Name: "export", Usage: "all operations as JSON lines", Flags: []cli.Flag{dir},
				Action: withContents(func(contents *kept.Contents, _ *cli.Command) error {
					return contents.Export(out)
				})},
			{Name: "verify", Usage: "check each byte of the journal; exits 1 if any check fails",
				Flags: []cli.Flag{dir},
				Action: withContents(func(contents *kept.Contents, _ *cli.Command) error {
					return contents.Verify(out)
				})},
			{Name: "resolve", Usage: "tell the outcome of an operation in doubt", ArgsUsage: "KEY",
				Flags: []cli.Flag{dir,
					&cli.StringFlag{Name: "how", Usage: "finished, failed or not-run", Required: true},
					&cli.StringFlag{Name: "result", Usage: "of one that finished: what its callers get"},
					&cli.StringFlag{Name: "by", Usage: "who says so", Required: true}},
				Action: withContents(func(contents *kept.Contents, c *cli.Command) error {
					resolution := kept.Resolution{Key: c.Args().First(), Result: []byte(c.String("result")),
						By: c.String("by")}
					switch c.String("how") {
					case "finished":
						resolution.Kind = journal.Finished
					case "failed":
						resolution.Kind = journal.Failed
					case "not-run":
						resolution.Kind = journal.NotRun
					default:
						return fmt.Errorf("kept resolve: --how is %q, want finished, failed or not-run",
							c.String("how"))
					}
					if resolution.Key == "" {
						return errors.New("kept resolve: KEY is missing")
					}
					if err := kept.Resolve(c.String("dir"), contents.Summary.Node, resolution,
						clock.Now()); err != nil {
						return fmt.Errorf("kept resolve: %w", err)
					}
					fmt.Fprintln(out, "ok")
					return nil
				})},
		}}
}
