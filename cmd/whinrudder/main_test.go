package main

import (
	"testing"

	"whinrudder/internal/clitest"
	"whinrudder/internal/template"
)

// Guards against changes in the output of the command line: it must be as recorded in testdata.
func TestCommandLine(t *testing.T) {
	evaluate = template.Evaluate // the test's folder contains no kit
	clitest.RunRecorded(t, "testdata", app)
}
