package main

import (
	"path/filepath"
	"testing"
)

// Guards against examples that do not load: each experiment of examples/lab/clients is parsed with its imports and has
// variants in groups of five callers.
func TestExamples(t *testing.T) {
	files, _ := filepath.Glob("../../examples/lab/clients/*.jsonnet")
	if len(files) != 15 {
		t.Errorf("got %d experiments, want 15", len(files))
	}
	for _, f := range files {
		e, err := loadExperiment(f)
		if err != nil {
			t.Errorf("%s: %v", f, err)
			continue
		}
		if name := filepath.Base(f); e.Name+".jsonnet" != name || len(e.Variants)%5 != 0 || e.Seeds != 30 {
			t.Errorf("%s: got name %s, %d variants and %d seeds, want the file's name, a multiple of 5 and 30", name,
				e.Name, len(e.Variants), e.Seeds)
		}
	}
}
