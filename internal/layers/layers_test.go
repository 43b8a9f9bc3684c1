package layers

import (
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"
)

const (
	root   = "../.."
	module = "bilberrytiller.example/tiller/"
)

// layerOrder lists the layers from the outermost to the innermost.
var layerOrder = []string{"transport", "protocol", "coordination", "state"}

func TestLayersImportOnlyInnerLayers(t *testing.T) {
	checked := 0
	for depth, layer := range layerOrder {
		err := filepath.WalkDir(filepath.Join(root, layer), func(path string, _ fs.DirEntry, err error) error {
			if err != nil || !strings.HasSuffix(path, ".go") {
				return err
			}
			checked++
			checkFile(t, path, depth)
			return nil
		})
		if err != nil {
			t.Fatal(err)
		}
	}
	if checked == 0 {
		t.Fatal("no file was checked")
	}
}

func checkFile(t *testing.T, path string, depth int) {
	t.Helper()
	file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.ImportsOnly)
	if err != nil {
		t.Fatal(err)
	}
	for _, spec := range file.Imports {
		name, err := strconv.Unquote(spec.Path.Value)
		if err != nil {
			t.Fatal(err)
		}
		rest, ok := strings.CutPrefix(name, module)
		if !ok {
			continue
		}
		layer, _, _ := strings.Cut(rest, "/")
		if target := slices.Index(layerOrder, layer); target < depth && layer != "internal" {
			t.Errorf("%s imports %s, which is not inside layer %s", path, name, layerOrder[depth])
		}
	}
}
