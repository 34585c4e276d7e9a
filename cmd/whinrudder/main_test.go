package main

import (
	"testing"

	"whinrudder/internal/clitest"
	"whinrudder/internal/template"
)

func TestCommandLine(t *testing.T) {
	evaluate = template.Evaluate // the kit's program is not beside the test's
	clitest.RunRecorded(t, "testdata", app)
}
