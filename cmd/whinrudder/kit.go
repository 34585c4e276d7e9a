package main

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/urfave/cli/v3"
)

// kitName is the program beside this one that holds what a node must not pay for: the template's library, the lab.
const kitName = "whinrudder-kit"

// evaluateFor is how long the evaluation of a template may take. Its process is ended then.
const evaluateFor = 5 * time.Second

// maxSaid bounds what is read of the kit.
const maxSaid = 128 << 10

func kitPath() (string, error) {
	self, err := os.Executable()
	if err != nil {
		return "", err
	}
	path := filepath.Join(filepath.Dir(self), kitName)
	if _, err := os.Stat(path); err != nil {
		return "", fmt.Errorf("%s is not beside this program: %w", kitName, err)
	}
	return path, nil
}

// evaluate returns the value of a template as JSON. It is a variable as tests have no program beside them.
var evaluate = func(text []byte, path string) (string, error) {
	kit, err := kitPath()
	if err != nil {
		return "", err
	}
	ctx, cancel := context.WithDeadline(context.Background(), time.Now().Add(evaluateFor))
	defer cancel()
	c := exec.CommandContext(ctx, kit, "template", path)
	var said, fault bytes.Buffer
	c.Stdin, c.Stdout, c.Stderr = bytes.NewReader(text), &limited{&said}, &limited{&fault}
	c.WaitDelay = time.Second
	err = c.Run()
	var exit *exec.ExitError
	switch {
	case err == nil:
		return said.String(), nil
	case ctx.Err() != nil:
		return "", fmt.Errorf("the evaluation of %s takes over %v", path, evaluateFor)
	case errors.As(err, &exit) && exit.ExitCode() == 1:
		return "", errors.New(strings.TrimSpace(strings.TrimPrefix(fault.String(), kitName+": ")))
	}
	return "", fmt.Errorf("the evaluation of %s wants more than it may have: %w", path, err)
}

// limited is a buffer that takes no more than a process of ours would say.
type limited struct{ *bytes.Buffer }

func (l *limited) Write(b []byte) (int, error) {
	if l.Len()+len(b) > maxSaid {
		return 0, errors.New("too much said")
	}
	return l.Buffer.Write(b)
}

// kitCommand hands its command line to the kit, in the place of this process.
func kitCommand(name, usage string) *cli.Command {
	return &cli.Command{Name: name, Usage: usage, SkipFlagParsing: true,
		Action: func(_ context.Context, c *cli.Command) error {
			kit, err := kitPath()
			if err != nil {
				return err
			}
			return syscall.Exec(kit, append([]string{kitName, name}, c.Args().Slice()...), os.Environ())
		}}
}
