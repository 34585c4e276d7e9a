package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/urfave/cli/v3"

	"whinrudder/internal/journal"
	"whinrudder/internal/kept"
	"whinrudder/internal/settings"
)

// keptCommand lets operators look at the operations whose results are kept, and settle those in doubt.
func keptCommand(out io.Writer) *cli.Command {
	dir := &cli.StringFlag{Name: "dir", Usage: "folder of the journal", Required: true}
	look := func(do func(l *kept.Contents, c *cli.Command) error) cli.ActionFunc {
		return func(_ context.Context, c *cli.Command) error {
			if _, err := os.Stat(c.String("dir")); err != nil {
				return err
			}
			l, err := kept.ReadContents(c.String("dir"))
			if err != nil {
				return err
			}
			return do(l, c)
		}
	}
	return &cli.Command{Name: "kept", Usage: "look at kept operations and settle those in doubt, offline or beside a running node",
		Action: func(_ context.Context, c *cli.Command) error {
			if word := c.Args().First(); word != "" {
				return settings.UnknownCommandError(c, word)
			}
			return errors.New("kept: want list, show, export, verify or resolve")
		},
		Commands: []*cli.Command{
			{Name: "list", Usage: "a line for each operation", Flags: []cli.Flag{dir,
				&cli.StringFlag{Name: "state", Usage: "only those: in-doubt, finished or failed"}},
				Action: look(func(l *kept.Contents, c *cli.Command) error {
					l.List(out, c.String("state"))
					return nil
				})},
			{Name: "show", Usage: "one operation, with its result", ArgsUsage: "KEY", Flags: []cli.Flag{dir},
				Action: look(func(l *kept.Contents, c *cli.Command) error { return l.Show(out, c.Args().First()) })},
			{Name: "export", Usage: "all operations as JSON lines", Flags: []cli.Flag{dir},
				Action: look(func(l *kept.Contents, _ *cli.Command) error { return l.Export(out) })},
			{Name: "verify", Usage: "check each byte of the journal; exits 1 if anything is wrong", Flags: []cli.Flag{dir},
				Action: look(func(l *kept.Contents, _ *cli.Command) error { return l.Verify(out) })},
			{Name: "resolve", Usage: "tell what became of an operation in doubt", ArgsUsage: "KEY", Flags: []cli.Flag{dir,
				&cli.StringFlag{Name: "how", Usage: "finished, failed or not-run", Required: true},
				&cli.StringFlag{Name: "result", Usage: "of one that finished: what its callers get"},
				&cli.StringFlag{Name: "by", Usage: "who says so", Required: true}},
				Action: look(func(l *kept.Contents, c *cli.Command) error {
					w := kept.Resolution{Key: c.Args().First(), Result: []byte(c.String("result")), By: c.String("by")}
					switch c.String("how") {
					case "finished":
						w.Kind = journal.Finished
					case "failed":
						w.Kind = journal.Failed
					case "not-run":
						w.Kind = journal.NotRun
					default:
						return fmt.Errorf("kept resolve: --how is %q, want finished, failed or not-run", c.String("how"))
					}
					if w.Key == "" {
						return errors.New("kept resolve: want a key")
					}
					if err := kept.Resolve(c.String("dir"), l.Summary.Node, w, float64(time.Now().UnixMilli())); err != nil {
						return fmt.Errorf("kept resolve: %w", err)
					}
					fmt.Fprintln(out, "ok")
					return nil
				})},
		}}
}
