// Command whinrudder is a payout node: it takes requests from client proxies, lets the decision module say what
// runs, and hands the work to the worker pool.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"

	"whinrudder/internal/node"
	"whinrudder/internal/settings"
)

// version is the version of the program.
const version = "0.1.0"

func main() {
	config := &cli.StringFlag{Name: "config", Usage: "file with the node's configuration",
		Sources: cli.EnvVars("ROUTER_CONFIG")}
	app := &cli.Command{
		Name: "whinrudder", Usage: "payout node with admission and shedding", Version: version,
		DefaultCommand: "serve",
		Commands: []*cli.Command{
			{Name: "serve", Usage: "serve until SIGTERM (the default)", Flags: []cli.Flag{config},
				Action: func(ctx context.Context, c *cli.Command) error { return serve(ctx, c.String("config")) }},
			{Name: "check", Usage: "check a configuration and name all its faults", Flags: []cli.Flag{config},
				Action: func(_ context.Context, c *cli.Command) error {
					if _, err := load(c.String("config")); err != nil {
						return err
					}
					fmt.Println("config ok")
					return nil
				}},
			{Name: "version", Usage: "print the version", Action: func(context.Context, *cli.Command) error {
				fmt.Println("whinrudder", version)
				return nil
			}},
		},
	}
	if err := app.Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "whinrudder:", err)
		os.Exit(1)
	}
}

func load(path string) (settings.Config, error) {
	if path == "" {
		return settings.Config{}, fmt.Errorf("config: none named, set ROUTER_CONFIG or --config")
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return settings.Config{}, fmt.Errorf("config: %w", err)
	}
	return settings.ParseConfig(text)
}

func serve(ctx context.Context, path string) error {
	cfg, err := load(path)
	if err != nil {
		return err
	}
	n, err := node.New(cfg, os.Stdout)
	if err != nil {
		return err
	}
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	return n.Run(ctx, stop)
}
