package layers

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// platformNames matches names of the platform's wire protocol that have no other
// meaning.
var platformNames = regexp.MustCompile(`X-Bilberrytiller|BILBERRYTILLER_NODE_FILE|/v1/objects|/v1/resolve|path_prefix|route_type|traffic_split|session_affinity|allowed_regions|current_rev|platform_settings|internal_ports`)

// TestOnlyPlatformFolderContainsPlatformNames checks the source of the product, not
// that of the stand-ins.
func TestOnlyPlatformFolderContainsPlatformNames(t *testing.T) {
	checked := 0
	for _, dir := range []string{"cli", "cmd", "coordination", "daemon", "gateway", "protocol", "state", "transport"} {
		err := filepath.WalkDir(filepath.Join(root, dir), func(path string, _ fs.DirEntry, err error) error {
			if err != nil || !strings.HasSuffix(path, ".go") {
				return err
			}
			text, err := os.ReadFile(path)
			if found := platformNames.Find(text); found != nil {
				t.Errorf("%s contains %q, a name of the platform's wire protocol", path, found)
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
