package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"time"

	"github.com/urfave/cli/v3"

	"whinrudder/internal/lab"
)

// withProgram calls run with the path of the node's program: the one that --program names, or whinrudder in the folder
// of this program. The context of run ends after ten minutes.
func withProgram(ctx context.Context, c *cli.Command, run func(ctx context.Context, program string) error) error {
	program := c.String("program")
	if program == "" {
		self, err := os.Executable()
		if err != nil {
			return err
		}
		program = filepath.Join(filepath.Dir(self), "whinrudder")
	}
	ctx, cancel := context.WithDeadline(ctx, time.Now().Add(10*time.Minute))
	defer cancel()
	return run(ctx, program)
}

// labCommand plays experiments in virtual time and runs measurements in real time.
func labCommand(out io.Writer) *cli.Command {
	return &cli.Command{Name: "lab", Usage: "play experiments in virtual time", Action: helpOrUnknownCommand,
		Commands: append(dayCommands(out), []*cli.Command{{
			Name:  "warm-up",
			Usage: "compare successors that start cold with successors that get the learned state of running nodes",
			Flags: []cli.Flag{
				&cli.IntFlag{Name: "seeds", Usage: "how many days", Value: 30},
				&cli.Uint64Flag{Name: "first-seed", Usage: "seed of the first day", Value: 1},
				&cli.FloatFlag{Name: "load-low", Usage: "least share of a warm machine's cores that is asked for",
					Value: 0.35},
				&cli.FloatFlag{Name: "load-high", Usage: "and the largest", Value: 0.65},
				&cli.StringFlag{Name: "json",
					Usage: "file for one JSON line a pair of variant and seed, and a summary line"},
			},
			Action: func(_ context.Context, c *cli.Command) error {
				load := lab.LoadRange{Low: c.Float("load-low"), High: c.Float("load-high")}
				pairs, all, err := lab.RunWarmUp(c.Uint64("first-seed"), c.Int("seeds"), load, func(done int) {
					if done%10 == 0 {
						fmt.Fprintf(os.Stderr, "%d of %d days\n", done, c.Int("seeds"))
					}
				})
				if err != nil {
					return err
				}
				lab.WriteSummaries(out, all)
				if c.String("json") == "" {
					return nil
				}
				file, err := os.Create(c.String("json"))
				if err != nil {
					return err
				}
				defer file.Close()
				return lab.WriteJSON(file, pairs, all)
			},
		}, {
			Name: "warm-up-sockets", Usage: "the start of one day of warm-up in real time, on loopback sockets",
			Flags: []cli.Flag{
				&cli.Uint64Flag{Name: "seed", Value: 1},
				&cli.IntFlag{Name: "seconds", Value: 20},
				&cli.FloatFlag{Name: "load-low", Value: 0.35},
				&cli.FloatFlag{Name: "load-high", Value: 0.65},
			},
			Action: func(_ context.Context, c *cli.Command) error {
				all, err := lab.RunWarmUpOnSockets(c.Uint64("seed"),
					lab.LoadRange{Low: c.Float("load-low"), High: c.Float("load-high")}, c.Int("seconds"))
				if err != nil {
					return err
				}
				lab.WriteSockets(out, all)
				return nil
			},
		}, {
			Name: "fronts", Usage: "requests per second and CPU time of each front, compared with Go's standard server",
			Flags: []cli.Flag{
				&cli.IntFlag{Name: "requests", Usage: "in each run", Value: 20000},
				&cli.StringFlag{Name: "program",
					Usage: "the node's program; by default whinrudder in the folder of this program"},
				&cli.StringSliceFlag{Name: "front", Usage: "fronts to measure",
					Value: []string{"http", "uwsgi", "h2c"}},
			},
			Action: func(ctx context.Context, c *cli.Command) error {
				return withProgram(ctx, c, func(ctx context.Context, program string) error {
					standard := []string{"/proc/self/exe", "lab", "standard-server"}
					all, err := lab.MeasureFronts(ctx, program, c.StringSlice("front"), standard, c.Int("requests"))
					lab.WriteFronts(out, all)
					return err
				})
			},
		}, {
			Name: "floods", Usage: "memory of a node under hostile peers on its HTTP/2 port",
			Flags: []cli.Flag{
				&cli.IntFlag{Name: "seconds", Usage: "of each flood", Value: 10},
				&cli.StringFlag{Name: "program",
					Usage: "the node's program; by default whinrudder in the folder of this program"},
			},
			Action: func(ctx context.Context, c *cli.Command) error {
				return withProgram(ctx, c, func(ctx context.Context, program string) error {
					all, err := lab.MeasureFloods(ctx, program, c.Int("seconds"))
					lab.WriteFloods(out, all)
					return err
				})
			},
		}, {
			Name: "memory", Usage: "anonymous memory of a node by its memory limit, under hostile peers on each front",
			Flags: []cli.Flag{
				&cli.IntFlag{Name: "seconds", Usage: "of each load", Value: 5},
				&cli.IntSliceFlag{Name: "limit", Usage: "memory limits of the node, in MB", Value: []int{32, 192}},
				&cli.StringSliceFlag{Name: "load", Usage: "loads to measure", Value: lab.MemoryLoadNames()},
				&cli.StringFlag{Name: "program",
					Usage: "the node's program; by default whinrudder in the folder of this program"},
			},
			Action: func(ctx context.Context, c *cli.Command) error {
				return withProgram(ctx, c, func(ctx context.Context, program string) error {
					return measureMemory(ctx, out, program, c.StringSlice("load"), c.IntSlice("limit"), c.Int("seconds"))
				})
			},
		}, {
			Name:  "kept",
			Usage: "what keeping results costs: storage engines, a node with and without it, a disk stall, recoveries",
			Flags: []cli.Flag{
				&cli.IntFlag{Name: "bookings",
					Usage: "in each run with 128 concurrent requests; fewer in runs with less concurrency",
					Value: 20000},
				&cli.StringFlag{Name: "program",
					Usage: "the node's program; by default whinrudder in the folder of this program"},
				&cli.StringFlag{Name: "dir", Usage: "folder on the disk that is measured; a temporary one by default"},
				&cli.FloatFlag{Name: "stall", Usage: "seconds of the stall", Value: 2},
				&cli.IntSliceFlag{Name: "recover", Usage: "operations in each journal to recover",
					Value: []int{1000, 36000, 1000000}},
			},
			Action: func(ctx context.Context, c *cli.Command) error {
				return withProgram(ctx, c, func(ctx context.Context, program string) error {
					dir, err := os.MkdirTemp(c.String("dir"), "lab-kept")
					if err != nil {
						return err
					}
					defer os.RemoveAll(dir)
					runs, err := lab.MeasureEngines(dir, c.Int("bookings"))
					if err != nil {
						return err
					}
					bookings, err := lab.MeasureBookings(ctx, program, dir, c.Int("bookings"))
					if err != nil {
						return err
					}
					all, err := lab.MeasureRecoveries(dir, c.IntSlice("recover"))
					if err != nil {
						return err
					}
					// This comes last, because a node sets limits of its process.
					stalls, err := lab.MeasureStall(ctx, dir, c.Float("stall"))
					lab.WriteKept(out, append(runs, bookings...), all, stalls)
					return err
				})
			},
		}, {
			Name: "standard-server", Usage: "Go's standard server, for fronts", Hidden: true,
			Action: func(context.Context, *cli.Command) error { return lab.ServeStandard(out) },
		}}...)}
}

// measureMemory measures each memory load with each memory limit and prints the table.
func measureMemory(ctx context.Context, out io.Writer, program string, loads []string, limits []int, seconds int) error {
	var all []lab.MemoryRun
	for _, limit := range limits {
		for _, load := range loads {
			r, err := lab.MeasureMemory(ctx, program, load, limit, time.Duration(seconds)*time.Second)
			if err != nil {
				return err
			}
			all = append(all, r)
		}
	}
	lab.WriteMemory(out, all)
	return nil
}
