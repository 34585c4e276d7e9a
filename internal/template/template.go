// Package template evaluates an operator's file that is a Jsonnet template. It stands in a program of its own, beside
// the node's: its library's tables would cost each node memory, and an evaluation that runs away can be ended with its
// process. Imports are taken from the template's own folder.
package template

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"github.com/google/go-jsonnet"
)

// Limits of a template.
const (
	MaxFileBytes   = 256 << 10 // bytes of each file
	MaxImports     = 32        // files that are imported
	MaxStackFrames = 200       // frames of the evaluation's stack
	MaxResultBytes = 64 << 10  // bytes of the value
	maxTrace       = 4         // places that a fault names
)

// Evaluate returns the value of a template as JSON. The error names the file and the line where the library knows them.
func Evaluate(text []byte, path string) (string, error) {
	if len(text) > MaxFileBytes {
		return "", fmt.Errorf("%s is over %d bytes", path, MaxFileBytes)
	}
	vm := jsonnet.MakeVM()
	vm.MaxStack = MaxStackFrames
	vm.ErrorFormatter.SetMaxStackTraceSize(maxTrace)
	vm.Importer(&beside{dir: filepath.Dir(path), seen: map[string]jsonnet.Contents{}})
	json, err := vm.EvaluateAnonymousSnippet(filepath.Base(path), string(text))
	switch {
	case err != nil:
		return "", errors.New(strings.TrimSpace(err.Error()))
	case len(json) > MaxResultBytes:
		return "", fmt.Errorf("the value of %s is %d bytes, %d at most", path, len(json), MaxResultBytes)
	}
	return json, nil
}

// beside imports files of one folder and of none below or above it.
type beside struct {
	dir  string
	seen map[string]jsonnet.Contents
}

// Import reads a file that a template names. Each is read once, as the library wants it.
func (b *beside) Import(_, name string) (jsonnet.Contents, string, error) {
	if c, ok := b.seen[name]; ok {
		return c, name, nil
	}
	if name != filepath.Base(name) || name == "." || name == ".." {
		return jsonnet.Contents{}, "", fmt.Errorf("%q does not lie beside the template", name)
	}
	if len(b.seen) >= MaxImports {
		return jsonnet.Contents{}, "", fmt.Errorf("over %d imports", MaxImports)
	}
	path := filepath.Join(b.dir, name)
	info, err := os.Lstat(path)
	switch {
	case err != nil:
		return jsonnet.Contents{}, "", errors.New(name + " is not there")
	case !info.Mode().IsRegular():
		return jsonnet.Contents{}, "", errors.New(name + " is no plain file")
	case info.Size() > MaxFileBytes:
		return jsonnet.Contents{}, "", fmt.Errorf("%s is over %d bytes", name, MaxFileBytes)
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return jsonnet.Contents{}, "", err
	}
	b.seen[name] = jsonnet.MakeContentsRaw(text)
	return b.seen[name], name, nil
}
