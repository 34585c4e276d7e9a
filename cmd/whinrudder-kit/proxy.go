package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/urfave/cli/v3"

	"whinrudder/client"
	"whinrudder/client/metrics"
	"whinrudder/internal/client/proxy"
)

// parseClasses parses the values of --class: NAME, or NAME:write.
func parseClasses(words []string, hedge bool) (out []client.Class, err error) {
	for _, word := range words {
		name, kind, hasKind := strings.Cut(word, ":")
		if name == "" || hasKind && kind != "write" {
			return nil, fmt.Errorf("proxy: --class is %q, want NAME or NAME:write", word)
		}
		out = append(out, client.Class{Name: name, Write: hasKind, NoHedge: !hedge})
	}
	return out, nil
}

// nodeSource returns the source of nodes that the flags name; exactly one of --node and --nodes-file must be set.
func nodeSource(c *cli.Command) (client.Source, error) {
	nodes, file := c.StringSlice("node"), c.String("nodes-file")
	switch {
	case (len(nodes) > 0) == (file != ""):
		return nil, errors.New("proxy: want either --node or --nodes-file")
	case file != "":
		return client.File(file), nil
	}
	for _, n := range nodes {
		if _, _, err := net.SplitHostPort(n); err != nil {
			return nil, fmt.Errorf("proxy: --node: %w", err)
		}
	}
	return client.Fixed(nodes), nil
}

// proxyCommand runs a client proxy until SIGTERM or an interrupt.
func proxyCommand(out io.Writer) *cli.Command {
	return &cli.Command{
		Name: "proxy", Usage: "a client proxy: accepts HTTP/1.1 and speaks any protocol of the nodes",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "listen", Usage: "address that callers use", Value: "127.0.0.1:8081"},
			&cli.StringSliceFlag{Name: "node", Usage: "HOST:PORT of a node"},
			&cli.StringFlag{Name: "nodes-file",
				Usage: "file of nodes, read again when it changes; per line name, address and, if it drains, draining"},
			&cli.StringFlag{Name: "protocol", Usage: "towards nodes: http, h2c or uwsgi", Value: "http"},
			&cli.StringSliceFlag{Name: "class",
				Usage: "a class that is accepted: NAME, or NAME:write if its requests must not run twice"},
			&cli.IntFlag{Name: "number", Usage: "of this caller, as nodes tell them apart"},
			&cli.IntFlag{Name: "subset", Usage: "how many nodes it uses; 0: all"},
			&cli.BoolFlag{Name: "affinity", Usage: "keep the requests of one subject to one node"},
			&cli.BoolFlag{Name: "hedge", Usage: "hedge reads that take long"},
			&cli.StringFlag{Name: "metrics", Usage: "address of /metrics; empty: none"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			classes, err := parseClasses(c.StringSlice("class"), c.Bool("hedge"))
			if err != nil {
				return err
			}
			source, err := nodeSource(c)
			if err != nil {
				return err
			}
			clientMetrics := metrics.New()
			nodeClient, err := client.New(client.Options{Source: source,
				Protocol: client.Protocol(c.String("protocol")),
				Classes:  classes, Number: c.Int("number"), Subset: c.Int("subset"), Affinity: c.Bool("affinity"),
				Hooks: clientMetrics.Hooks()})
			if err != nil {
				return err
			}
			defer nodeClient.Close()
			ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, os.Interrupt)
			defer stop()
			front, err := proxy.Listen(c.String("listen"), proxy.Handler(nodeClient))
			if err != nil {
				return err
			}
			servers := []*proxy.Server{front}
			if addr := c.String("metrics"); addr != "" {
				registry := prometheus.NewRegistry()
				registry.MustRegister(clientMetrics)
				mux := http.NewServeMux()
				mux.Handle("GET /metrics", promhttp.HandlerFor(registry, promhttp.HandlerOpts{}))
				metricsServer, err := proxy.Listen(addr, mux)
				if err != nil {
					return err
				}
				servers = append(servers, metricsServer)
			}
			return serveAll(ctx, out, servers)
		},
	}
}

// serveAll runs the servers until the context is done or one of them fails. It then shuts all down gracefully: requests
// in progress are answered.
func serveAll(ctx context.Context, out io.Writer, servers []*proxy.Server) error {
	failed := make(chan error, len(servers))
	for _, s := range servers {
		fmt.Fprintf(out, "listening on %s\n", s.Addr())
		go func() { failed <- s.Serve() }()
	}
	var err error
	select {
	case err = <-failed:
	case <-ctx.Done():
	}
	drainStart := time.Now()
	shutdownErrs := make(chan error, len(servers))
	for _, s := range servers {
		go func() { shutdownErrs <- s.Shutdown(drainStart) }()
	}
	for range servers {
		err = errors.Join(err, <-shutdownErrs)
	}
	return err
}
