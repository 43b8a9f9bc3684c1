package daemon

import (
	"expvar"
	"os"
	"reflect"
	"regexp"
	"strings"
	"testing"
)

// operations returns the page for those who run daemons.
func operations(t *testing.T) string {
	t.Helper()
	page, err := os.ReadFile("../docs/OPERATIONS.md")
	if err != nil {
		t.Fatal(err)
	}
	return string(page)
}

func TestEveryMetricIsDocumentedWithItsUnit(t *testing.T) {
	page := operations(t)
	newMetrics().vars.Do(func(v expvar.KeyValue) {
		row := regexp.MustCompile("(?m)^\\| `" + v.Key + "` \\| [^|]+, (counter|gauge) \\| [^|]+ \\|$")
		if !row.MatchString(page) {
			t.Errorf("docs/OPERATIONS.md has no row for metric %s", v.Key)
		}
	})
}

func TestEveryDocumentedMetricExists(t *testing.T) {
	known := map[string]bool{}
	newMetrics().vars.Do(func(v expvar.KeyValue) { known[v.Key] = true })
	for _, row := range regexp.MustCompile("(?m)^\\| `([a-z_]+)` \\| [^|]+, (counter|gauge) ").FindAllStringSubmatch(operations(t), -1) {
		if !known[row[1]] {
			t.Errorf("docs/OPERATIONS.md lists metric %s, which does not exist", row[1])
		}
	}
}

func TestEverySettingIsDocumented(t *testing.T) {
	page := operations(t)
	checked := 0
	for _, field := range reflect.VisibleFields(reflect.TypeFor[Settings]()) {
		flag := field.Tag.Get("long")
		if flag == "" {
			continue
		}
		checked++
		env := field.Tag.Get("env")
		row := "| `--" + flag + "` | `" + env + "` | " + field.Tag.Get("default")
		if !strings.Contains(page, row) {
			t.Errorf("docs/OPERATIONS.md has no row that starts with %q", row)
		}
		var named *SettingError
		if err, ok := newSettingError(flag, "", "", ErrNotSet).(*SettingError); ok {
			named = err
		}
		if named == nil || named.Env != env {
			t.Errorf("an error for --%s names %v, want %s", flag, named, env)
		}
	}
	if checked == 0 {
		t.Fatal("no setting was checked")
	}
}
