package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/urfave/cli/v3"

	"whinrudder/internal/clock"
	"whinrudder/internal/knowledge"
	"whinrudder/internal/peertls"
	"whinrudder/internal/settings"
	"whinrudder/internal/warmup"
)

// reportTimeout is the maximum time that a node may take to send its report.
const reportTimeout = 5 * time.Second

// knowledgeCommand prints the learned state that a running node offers to other nodes.
func knowledgeCommand(out io.Writer) *cli.Command {
	return &cli.Command{Name: "knowledge",
		Usage: "print the learned state that a running node offers to others", ArgsUsage: "ADDR",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "cert", Usage: "file of our certificate; without it the connection is not encrypted"},
			&cli.StringFlag{Name: "key", Usage: "file of its key"},
			&cli.StringFlag{Name: "authority", Usage: "file of the authority's certificate"},
			&cli.StringFlag{Name: "name", Usage: "name that the node's certificate must have",
				Value: peertls.DefaultPeerName},
		},
		Action: func(_ context.Context, c *cli.Command) error {
			addr := c.Args().First()
			if err := settings.CheckAddr(addr); err != nil {
				return fmt.Errorf("knowledge: %w", err)
			}
			var credentials *peertls.Credentials
			if c.String("cert") != "" {
				var err error
				credentials, err = peertls.Load(peertls.Files{Cert: c.String("cert"), Key: c.String("key"),
					Authority: c.String("authority"),
					PeerName:  c.String("name")})
				if err != nil {
					return err
				}
			}
			report, err := warmup.FetchReport(addr, "operator", credentials,
				clock.Now()+float64(reportTimeout.Milliseconds()))
			if err != nil {
				return fmt.Errorf("knowledge: %w", err)
			}
			knowledge.WriteReport(out, report)
			return nil
		}}
}

// keysCommand creates a test certificate authority and the keys of nodes.
func keysCommand(out io.Writer) *cli.Command {
	return &cli.Command{Name: "keys",
		Usage:     "make a test certificate authority and keys for nodes, to try out the peer port",
		ArgsUsage: "DIR NODE [NODE ...]",
		Flags: []cli.Flag{
			&cli.IntFlag{Name: "days", Usage: "how long they are good", Value: 30},
			&cli.StringFlag{Name: "name", Usage: "name in the certificates", Value: peertls.DefaultPeerName},
		},
		Action: func(_ context.Context, c *cli.Command) error {
			if c.Args().Len() < 2 {
				return errors.New("keys: want a folder and at least one node")
			}
			dir, nodes := c.Args().First(), c.Args().Tail()
			if err := peertls.GenerateFiles(dir, nodes, c.String("name"), c.Int("days")); err != nil {
				return err
			}
			for _, n := range nodes {
				fmt.Fprintf(out, `{"cert":"%s/%s.pem","key":"%s/%s.key","authority":"%s/authority.pem","name":%q}`+"\n",
					dir, n, dir, n, dir, c.String("name"))
			}
			return nil
		}}
}
