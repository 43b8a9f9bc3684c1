package daemon

import (
	"expvar"
	"os"
	"reflect"
	"regexp"
	"strings"
	"testing"
)

// operationsPage returns the documentation page for operators.
func operationsPage(t *testing.T) string {
	t.Helper()
	page, err := os.ReadFile("../docs/OPERATIONS.md")
	if err != nil {
		t.Fatal(err)
	}
	return string(page)
}

// TestEveryMetricIsDocumentedWithItsUnit guards against a metric that is added
// or renamed without its row on the page.
func TestEveryMetricIsDocumentedWithItsUnit(t *testing.T) {
	page := operationsPage(t)
	newMetrics().vars.Do(func(v expvar.KeyValue) {
		row := regexp.MustCompile("(?m)^\\| `" + v.Key + "` \\| [^|]+, (counter|gauge) \\| [^|]+ \\|$")
		if !row.MatchString(page) {
			t.Errorf("docs/OPERATIONS.md has no row for metric %s", v.Key)
		}
	})
}

// TestEveryDocumentedMetricExists guards against a row on the page that is left
// behind when its metric is renamed or removed.
func TestEveryDocumentedMetricExists(t *testing.T) {
	known := map[string]bool{}
	newMetrics().vars.Do(func(v expvar.KeyValue) { known[v.Key] = true })
	for _, row := range regexp.MustCompile("(?m)^\\| `([a-z_]+)` \\| [^|]+, (counter|gauge) ").FindAllStringSubmatch(operationsPage(t), -1) {
		if !known[row[1]] {
			t.Errorf("docs/OPERATIONS.md lists metric %s, which does not exist", row[1])
		}
	}
}

// TestEverySettingIsDocumented guards against a setting without its row on the
// page, and against an error that names another environment variable than the
// one that is read.
func TestEverySettingIsDocumented(t *testing.T) {
	page := operationsPage(t)
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
		var settingErr *SettingError
		if err, ok := newSettingError(flag, "", "", ErrNotSet).(*SettingError); ok {
			settingErr = err
		}
		if settingErr == nil || settingErr.Env != env {
			t.Errorf("error for --%s names %v, want %s", flag, settingErr, env)
		}
	}
	if checked == 0 {
		t.Fatal("no setting was checked")
	}
}
