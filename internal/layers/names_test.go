package layers

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// platformNames are names of the platform's wire that mean nothing else.
var platformNames = regexp.MustCompile(`X-Bilberrytiller|BILBERRYTILLER_NODE_FILE|/v1/objects|/v1/resolve|path_prefix|route_type|traffic_split|session_affinity|allowed_regions|current_rev|platform_settings|internal_ports`)

// TestOnlyThePlatformFolderKnowsItsNames checks the product's own sources.
func TestOnlyThePlatformFolderKnowsItsNames(t *testing.T) {
	checked := 0
	for _, dir := range []string{"cli", "cmd", "coordination", "daemon", "gateway", "protocol", "state", "transport"} {
		err := filepath.WalkDir(filepath.Join(root, dir), func(path string, _ fs.DirEntry, err error) error {
			if err != nil || !strings.HasSuffix(path, ".go") {
				return err
			}
			text, err := os.ReadFile(path)
			if found := platformNames.Find(text); found != nil {
				t.Errorf("%s names %q", path, found)
			}
			checked++
			return err
		})
		if err != nil {
			t.Fatal(err)
		}
	}
	if checked == 0 {
		t.Fatal("no file was checked")
	}
}
