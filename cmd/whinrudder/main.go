// Command whinrudder is a payout node: it accepts requests from client proxies, lets the decision module admit or
// refuse them, and passes the admitted ones to the worker pool. Its other commands check configurations and inspect
// nodes.
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"

	"whinrudder/internal/node"
	"whinrudder/internal/rehearse"
	"whinrudder/internal/settings"
	"whinrudder/internal/zk"
)

// version is the version that the command version and the flag --version print.
const version = "0.1.0"

func main() {
	if err := app(os.Stdout).Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "whinrudder:", err)
		os.Exit(1)
	}
}

// app returns the command line. Its commands write their output to out.
func app(out io.Writer) *cli.Command {
	config := &cli.StringFlag{Name: "config", Usage: "file with the node's configuration",
		Sources: cli.EnvVars("ROUTER_CONFIG")}
	operator := &cli.StringFlag{Name: "operator",
		Usage:   "operator's file, JSON or Jsonnet: uwsgi, ZooKeeper, peers; these are off without it",
		Sources: cli.EnvVars("WHINRUDDER_OPERATOR")}
	addr := &cli.StringFlag{Name: "addr", Usage: "address of a front", Value: "127.0.0.1:8080"}
	protocol := &cli.StringFlag{Name: "protocol", Usage: "http, uwsgi or h2c", Value: "http"}
	return &cli.Command{
		Name: "whinrudder", Writer: out, Usage: "payout node with admission control and load shedding",
		Version:        version,
		DefaultCommand: "serve",
		Commands: []*cli.Command{
			{Name: "serve", Usage: "serve until SIGTERM, reload at SIGHUP (the default)",
				Flags:  []cli.Flag{config, operator},
				Action: func(ctx context.Context, c *cli.Command) error { return serve(ctx, c, out) }},
			{Name: "check", Usage: "check a configuration and report all its errors",
				Flags: []cli.Flag{config, operator, &cli.BoolFlag{Name: "print",
					Usage: "print the effective value of the operator's file"}},
				Action: func(_ context.Context, c *cli.Command) error {
					_, op, err := load(c)
					if err != nil {
						return err
					}
					if c.Bool("print") {
						fmt.Fprintln(out, op.EffectiveJSON())
						return nil
					}
					fmt.Fprintln(out, "config ok")
					return nil
				}},
			{Name: "rehearse",
				Usage:     "play exchange files against a node between fake peers; without files, the shipped ones",
				ArgsUsage: "[FILE ...]", Flags: []cli.Flag{&cli.StringFlag{Name: "protocol", Value: "all",
					Usage: "http, uwsgi, h2c or all, for the named files"}},
				Action: func(_ context.Context, c *cli.Command) error {
					return rehearse.Run(out, c.String("protocol"), c.Args().Slice())
				}},
			{Name: "call", Usage: "send one request to a node and print its answer", ArgsUsage: "CLASS [BODY]",
				Flags: []cli.Flag{addr, protocol, &cli.StringFlag{Name: "wait", Usage: "milliseconds", Value: "5000"}},
				Action: func(_ context.Context, c *cli.Command) error {
					return ask(out, c, "call", rehearse.CallStep(c.Args().Get(0), c.Args().Get(1), c.String("wait")))
				}},
			{Name: "health", Usage: "ask a node for its health and print the answer",
				Flags: []cli.Flag{addr, protocol, &cli.BoolFlag{Name: "real",
					Usage: "ask whether work gets done"}},
				Action: func(_ context.Context, c *cli.Command) error {
					return ask(out, c, "check", map[bool]string{true: "real"}[c.Bool("real")])
				}},
			kitCommand("lab", "play experiments in virtual time"),
			kitCommand("proxy", "a client proxy built on the client library"),
			knowledgeCommand(out),
			keysCommand(out),
			keptCommand(out),
			{Name: "version", Usage: "print the version", Action: func(context.Context, *cli.Command) error {
				fmt.Fprintln(out, "whinrudder", version)
				return nil
			}},
		},
	}
}

// load reads the configuration and the operator's file that the flags name. The error reports the errors of both.
func load(c *cli.Command) (cfg settings.Config, operator settings.Operator, err error) {
	if c.String("config") == "" {
		return cfg, operator, errors.New("config: no file is named, set ROUTER_CONFIG or --config")
	}
	text, err := os.ReadFile(c.String("config"))
	if err == nil {
		cfg, err = settings.ParseConfig(text)
	}
	if cfg.Admin == "" {
		if cfg.Admin = os.Getenv("ROUTER_ADMIN"); cfg.Admin != "" {
			if checkErr := settings.CheckAddr(cfg.Admin); checkErr != nil {
				err = errors.Join(err, fmt.Errorf("ROUTER_ADMIN: %w", checkErr))
			}
		}
	}
	if path := c.String("operator"); path != "" {
		text, operatorErr := os.ReadFile(path)
		if operatorErr == nil {
			operator, operatorErr = settings.ParseOperator(text, path, evaluate)
		}
		err = errors.Join(err, operatorErr)
	}
	if _, checkErr := zk.ReadAuth(operator.AuthFile); checkErr != nil {
		err = errors.Join(err, checkErr)
	}
	if operator.UpgradeDir == "" && cfg.Admin != "" { // with an admin address, a successor can find this process
		operator.UpgradeDir = os.Getenv("TMPDIR")
	}
	if err == nil {
		_, err = operator.KeptClassNames(cfg)
	}
	return cfg, operator, err
}

// serve runs a node until it is told to stop.
func serve(ctx context.Context, c *cli.Command, out io.Writer) error {
	if word := c.Args().First(); word != "" { // the default command receives words that are not a command
		return settings.UnknownCommandError(c.Root(), word)
	}
	// This comes first, because a signal without a handler ends the process.
	stop, reload := make(chan os.Signal, 1), make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	signal.Notify(reload, syscall.SIGHUP)
	signal.Ignore(syscall.SIGPIPE) // the end of what reads the log must not end the node
	cfg, op, err := load(c)
	if err != nil {
		return err
	}
	n, err := node.New(cfg, op, out)
	if err != nil {
		return err
	}
	if err := n.Listen(); err != nil {
		return err
	}
	n.Run(ctx, stop, reload, func() (settings.Config, settings.Operator, error) { return load(c) })
	return nil
}

// ask sends one step of an exchange to a node and prints the answer.
func ask(out io.Writer, c *cli.Command, word, text string) error {
	answer, err := rehearse.Send(c.String("addr"), c.String("protocol"), word, text)
	if err == nil {
		_, err = fmt.Fprintln(out, answer)
	}
	return err
}
