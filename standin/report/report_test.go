package report

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// entryText is the part of a journal entry that the page uses, for a run of
// two days.
const entryText = `{"id":%q,"why":"w","site":"north","head":"0123456789","at":[%q,""],"days":[
 {"name":"quiet-1","G":%v,"served":0.9,"refused":0.01,"failed":0,"rules":{},"prices":[["machine-seconds",388.8,0.0282],["GB between regions",0.04,0.05]]},
 {"name":"mix --seed 7","G":0.1,"served":0.9,"prices":[]}]}`

func writeJournal(t *testing.T, files map[string]string) string {
	t.Helper()
	folder := t.TempDir()
	for name, text := range files {
		if err := os.WriteFile(filepath.Join(folder, name), []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	return folder
}

func TestPageShowsLatestRunAndChange(t *testing.T) {
	folder := writeJournal(t, map[string]string{
		"b.json":    fmt.Sprintf(entryText, "run-2", "2026-12-04T11:00:00Z", 0.75),
		"a.json":    fmt.Sprintf(entryText, "run-3", "2026-12-04T12:00:00Z", 0.7),
		"torn.json": `{"id":"run-4","days":[{"name"`,
	})
	entries, unreadable, err := Read(folder)
	if err != nil || len(entries) != 2 || len(unreadable) != 1 {
		t.Fatalf("got %d entries, unreadable files %v, error %v, want 2 entries and 1 unreadable file", len(entries), unreadable, err)
	}
	var page bytes.Buffer
	if err := Write(&page, entries); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"<td>quiet-1</td><td>0.700</td>", "0.050", "<td>run-3</td><td>0123456</td>", "GB between regions"} {
		if !strings.Contains(page.String(), want) {
			t.Errorf("page does not contain %q", want)
		}
	}
	if n := strings.Count(page.String(), "<svg"); n != 2 {
		t.Errorf("got %d plots, want 2: worth of the day and prices of the site", n)
	}
	if strings.Contains(page.String(), "--seed") {
		t.Error("page contains a day generated for a single run")
	}
}

func TestReadEmptyFolderFails(t *testing.T) {
	if _, _, err := Read(t.TempDir()); !errors.Is(err, ErrNoEntries) {
		t.Errorf("got error %v, want ErrNoEntries", err)
	}
}
