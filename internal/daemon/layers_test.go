package daemon

import (
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
)

// layers lists the layers from top to bottom. A package may import packages of its own
// layer and of lower ones.
var layers = []string{"transport", "protocol", "coordination", "state"}

func layerOf(path string) int {
	for i, layer := range layers {
		if strings.HasPrefix(path, layer+"/") {
			return i
		}
	}
	return -1
}

// Guards against an import of a higher layer, which could make a decision depend on
// a transport.
func TestImportsGoDown(t *testing.T) {
	const module = "github.com/radishloom/radishloom/internal/"
	err := filepath.WalkDir("..", func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		from := strings.TrimPrefix(filepath.ToSlash(path), "../")
		layer := layerOf(from)
		if layer < 0 {
			return nil
		}
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.ImportsOnly)
		if err != nil {
			return err
		}
		for _, spec := range file.Imports {
			name, err := strconv.Unquote(spec.Path.Value)
			if err != nil {
				return err
			}
			to := layerOf(strings.TrimPrefix(name, module))
			if strings.HasPrefix(name, module) && to >= 0 && to < layer {
				t.Errorf("%s imports %s, which is a higher layer", from, name)
			}
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
}
