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
	quotedTest    = regexp.MustCompile("`(Test[A-Za-z0-9]+)`")
	quotedSession = regexp.MustCompile("golden session `([a-z_]+)`")
	testFunc      = regexp.MustCompile(`(?m)^func (Test[A-Za-z0-9]+)\(`)
)

// TestProofsPageNamesExistingTests checks each test and session that
// docs/PROOFS.md names.
func TestProofsPageNamesExistingTests(t *testing.T) {
	page, err := os.ReadFile(filepath.Join(root, "docs", "PROOFS.md"))
	if err != nil {
		t.Fatal(err)
	}
	exist := findTests(t)
	for _, match := range quotedTest.FindAllStringSubmatch(string(page), -1) {
		if !exist[match[1]] {
			t.Errorf("docs/PROOFS.md names test %s, which does not exist", match[1])
		}
	}
	for _, match := range quotedSession.FindAllStringSubmatch(string(page), -1) {
		if _, err := os.Stat(filepath.Join(root, "standin/sessions/testdata", match[1]+".txtar")); err != nil {
			t.Errorf("docs/PROOFS.md names session %s, which does not exist", match[1])
		}
	}
	if strings.Contains(string(page), "|  |") {
		t.Error("docs/PROOFS.md has a table with an empty cell")
	}
}

func findTests(t *testing.T) map[string]bool {
	t.Helper()
	exist := map[string]bool{}
	err := filepath.WalkDir(root, func(path string, _ fs.DirEntry, err error) error {
		if err != nil || !strings.HasSuffix(path, "_test.go") {
			return err
		}
		text, err := os.ReadFile(path)
		for _, match := range testFunc.FindAllStringSubmatch(string(text), -1) {
			exist[match[1]] = true
		}
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
	return exist
}
