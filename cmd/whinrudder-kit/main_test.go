package main

import (
	"testing"

	"whinrudder/internal/clitest"
)

func TestCommandLine(t *testing.T) { clitest.RunRecorded(t, "testdata", app) }
