package main

import (
	"path/filepath"
	"testing"
)

// The experiments among the examples can be read, imports included, and compare callers alone.
func TestExamples(t *testing.T) {
	files, _ := filepath.Glob("../../examples/lab/clients/*.jsonnet")
	if len(files) != 15 {
		t.Errorf("%d families", len(files))
	}
	for _, f := range files {
		e, err := load(f)
		if err != nil {
			t.Errorf("%s: %v", f, err)
			continue
		}
		if name := filepath.Base(f); e.Name+".jsonnet" != name || len(e.Variants)%5 != 0 || e.Seeds != 30 {
			t.Errorf("%s: %s with %d variants and %d seeds", name, e.Name, len(e.Variants), e.Seeds)
		}
	}
}
