package main

import (
	"testing"

	"whinrudder/internal/clitest"
)

// Guards against changes in the output of the command line: it must be as recorded in testdata.
func TestCommandLine(t *testing.T) { clitest.RunRecorded(t, "testdata", app) }
