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

// classesOf reads the classes of a command line: NAME, or NAME:write.
func classesOf(words []string, hedge bool) (out []client.Class, err error) {
	for _, w := range words {
		name, kind, marked := strings.Cut(w, ":")
		if name == "" || marked && kind != "write" {
			return nil, fmt.Errorf("proxy: --class is %q, want NAME or NAME:write", w)
		}
		out = append(out, client.Class{Name: name, Write: marked, NoHedge: !hedge})
	}
	return out, nil
}

// sourceOf returns the source of nodes that a command line names, which must be one.
func sourceOf(c *cli.Command) (client.Source, error) {
	nodes, file := c.StringSlice("node"), c.String("nodes-file")
	switch {
	case (len(nodes) > 0) == (file != ""):
		return nil, errors.New("proxy: want --node or --nodes-file")
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

func proxyCommand(out io.Writer) *cli.Command {
	return &cli.Command{
		Name: "proxy", Usage: "a client proxy: HTTP/1.1 in, any protocol of the nodes out",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "listen", Usage: "address that callers use", Value: "127.0.0.1:8081"},
			&cli.StringSliceFlag{Name: "node", Usage: "HOST:PORT of a node"},
			&cli.StringFlag{Name: "nodes-file", Usage: "file of nodes, read again when it changes: a line each with name, address and perhaps draining"},
			&cli.StringFlag{Name: "protocol", Usage: "towards nodes: http, h2c or uwsgi", Value: "http"},
			&cli.StringSliceFlag{Name: "class", Usage: "a class that is taken: NAME, or NAME:write if it must not run twice"},
			&cli.IntFlag{Name: "number", Usage: "of this caller, as nodes tell them apart"},
			&cli.IntFlag{Name: "subset", Usage: "how many nodes it uses; 0: all"},
			&cli.BoolFlag{Name: "affinity", Usage: "keep the requests of one subject to one node"},
			&cli.BoolFlag{Name: "hedge", Usage: "hedge reads that take long"},
			&cli.StringFlag{Name: "metrics", Usage: "address of /metrics; empty: none"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			classes, err := classesOf(c.StringSlice("class"), c.Bool("hedge"))
			if err != nil {
				return err
			}
			source, err := sourceOf(c)
			if err != nil {
				return err
			}
			m := metrics.New()
			l, err := client.New(client.Options{Source: source, Protocol: client.Protocol(c.String("protocol")), Classes: classes, Number: c.Int("number"),
				Subset: c.Int("subset"), Affinity: c.Bool("affinity"), Hooks: m.Hooks()})
			if err != nil {
				return err
			}
			defer l.Close()
			ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, os.Interrupt)
			defer stop()
			front, err := proxy.Listen(c.String("listen"), proxy.Handler(l))
			if err != nil {
				return err
			}
			servers := []*proxy.Server{front}
			if addr := c.String("metrics"); addr != "" {
				r := prometheus.NewRegistry()
				r.MustRegister(m)
				mux := http.NewServeMux()
				mux.Handle("GET /metrics", promhttp.HandlerFor(r, promhttp.HandlerOpts{}))
				figures, err := proxy.Listen(addr, mux)
				if err != nil {
					return err
				}
				servers = append(servers, figures)
			}
			return serveAll(ctx, out, servers)
		},
	}
}

// serveAll serves until the context is done, or one server fails, and then ends all with what they have in hand answered.
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
	notice := time.Now()
	ended := make(chan error, len(servers))
	for _, s := range servers {
		go func() { ended <- s.Shutdown(notice) }()
	}
	for range servers {
		err = errors.Join(err, <-ended)
	}
	return err
}
