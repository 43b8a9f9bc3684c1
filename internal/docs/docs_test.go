package docs

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

const root = "../.."

var (
	named   = regexp.MustCompile("`(Test[A-Za-z0-9]+)`")
	session = regexp.MustCompile("golden session `([a-z_]+)`")
	defined = regexp.MustCompile(`(?m)^func (Test[A-Za-z0-9]+)\(`)
)

// TestProofsNameTestsThatExist checks each test and session that
// docs/PROOFS.md names.
func TestProofsNameTestsThatExist(t *testing.T) {
	page, err := os.ReadFile(filepath.Join(root, "docs", "PROOFS.md"))
	if err != nil {
		t.Fatal(err)
	}
	exist := definedTests(t)
	for _, match := range named.FindAllStringSubmatch(string(page), -1) {
		if !exist[match[1]] {
			t.Errorf("no test %s", match[1])
		}
	}
	for _, match := range session.FindAllStringSubmatch(string(page), -1) {
		if _, err := os.Stat(filepath.Join(root, "standin/sessions/testdata", match[1]+".txtar")); err != nil {
			t.Errorf("no session %s", match[1])
		}
	}
	if strings.Contains(string(page), "|  |") {
		t.Error("a cell is empty")
	}
}

func definedTests(t *testing.T) map[string]bool {
	t.Helper()
	exist := map[string]bool{}
	err := filepath.WalkDir(root, func(path string, _ fs.DirEntry, err error) error {
		if err != nil || !strings.HasSuffix(path, "_test.go") {
			return err
		}
		text, err := os.ReadFile(path)
		for _, match := range defined.FindAllStringSubmatch(string(text), -1) {
			exist[match[1]] = true
		}
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
	return exist
}
