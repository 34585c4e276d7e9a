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

// kitName is the program in the same folder as this one. It contains the template library and the lab, so that a node
// does not pay for them.
const kitName = "whinrudder-kit"

// evaluateTimeout is the maximum duration of the evaluation of a template. The process is killed after it.
const evaluateTimeout = 5 * time.Second

// maxOutputBytes is the maximum length of each output stream of the kit.
const maxOutputBytes = 128 << 10

// kitPath returns the path of the kit; an error if it is not in the folder of this program.
func kitPath() (string, error) {
	self, err := os.Executable()
	if err != nil {
		return "", err
	}
	path := filepath.Join(filepath.Dir(self), kitName)
	if _, err := os.Stat(path); err != nil {
		return "", fmt.Errorf("%s is not in the folder of this program: %w", kitName, err)
	}
	return path, nil
}

// evaluate returns the value of a template as JSON. It is a variable so that tests, which have no kit in their folder,
// can replace it.
var evaluate = func(text []byte, path string) (string, error) {
	kit, err := kitPath()
	if err != nil {
		return "", err
	}
	ctx, cancel := context.WithDeadline(context.Background(), time.Now().Add(evaluateTimeout))
	defer cancel()
	cmd := exec.CommandContext(ctx, kit, "template", path)
	var stdout, stderr bytes.Buffer
	cmd.Stdin, cmd.Stdout, cmd.Stderr = bytes.NewReader(text), &limitedBuffer{&stdout}, &limitedBuffer{&stderr}
	cmd.WaitDelay = time.Second
	err = cmd.Run()
	var exitErr *exec.ExitError
	switch {
	case err == nil:
		return stdout.String(), nil
	case ctx.Err() != nil:
		return "", fmt.Errorf("the evaluation of %s takes longer than %v", path, evaluateTimeout)
	case errors.As(err, &exitErr) && exitErr.ExitCode() == 1:
		return "", errors.New(strings.TrimSpace(strings.TrimPrefix(stderr.String(), kitName+": ")))
	}
	return "", fmt.Errorf("the evaluation of %s exceeds its limits: %w", path, err)
}

// limitedBuffer is a buffer that accepts up to maxOutputBytes, more than the kit writes when it works correctly.
type limitedBuffer struct{ *bytes.Buffer }

func (l *limitedBuffer) Write(b []byte) (int, error) {
	if l.Len()+len(b) > maxOutputBytes {
		return 0, errors.New("output is too long")
	}
	return l.Buffer.Write(b)
}

// kitCommand returns a command that replaces this process by the kit, with the same command line.
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
