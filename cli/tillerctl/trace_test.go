package tillerctl

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

const sampleLog = `time=1 level=info event=backend.entry host=edge-1 backend=i-2 service=pay draining=false
time=1.5 level=info event=backend.gone host=edge-2 backend=i-2
time=2 level=info event=backend.entry host=edge-1 backend=i-7 service=pay draining=true
time=3 level=info event=request.done host=edge-1 id=other outcome=answered backend=i-7
time=4 level=info event=send.ended host=edge-1 id=a1 backend=i-2 outcome=lost error="read answer: EOF"
time=5 level=info event=request.done host=edge-1 id=a1 status=502 outcome=may_have_run backend=i-2
time=6 level=info event=request.refused host=edge-1 id=a2 status=404 reason=no_route`

func TestTraceFindsCauseOfRequest(t *testing.T) {
	lines := strings.Split(sampleLog, "\n")
	found := selectLines(lines, "a1")
	if len(found) != 3 || !strings.HasPrefix(found[0], "time=1 ") || !strings.HasPrefix(found[2], "time=5 ") {
		t.Errorf("got lines\n%s\nwant those with time 1, 4 and 5", strings.Join(found, "\n"))
	}
	if cause := explainOutcome(found); !strings.Contains(cause, "must not run again") {
		t.Errorf("got cause %q of a lost answer", cause)
	}
	if cause := explainOutcome(selectLines(lines, "a2")); !strings.Contains(cause, "no route") {
		t.Errorf("got cause %q of a request without a route", cause)
	}
	if found := selectLines(lines, "nobody"); found != nil {
		t.Errorf("got %v for an ID that is not in the log, want nothing", found)
	}
	if cause := explainOutcome(lines[4:5]); !strings.Contains(cause, "does not contain the end") {
		t.Errorf("got cause %q of a request without a final line", cause)
	}
}

// reasonPatterns match where the gateway and the choice of a server name the reason of a
// request's end.
var reasonPatterns = regexp.MustCompile(`reason: "(\w+)"|reason\w* *= "(\w+)"|Reason\w* +Reason = "(\w+)"|noRetryResponse\("(\w+)"\)|denial\([^"]*"(\w+)"`)

// TestEveryReasonHasCause guards against reasons in the log that trace cannot explain.
func TestEveryReasonHasCause(t *testing.T) {
	// These say why a server was chosen.
	chosen := map[string]bool{"room": true, "queue": true, "rank": true}
	found := 0
	for _, pattern := range []string{"../../gateway/*.go", "../../coordination/upstream/*.go", "../../coordination/overload/*.go"} {
		files, err := filepath.Glob(pattern)
		if err != nil || len(files) == 0 {
			t.Fatalf("%s: got %d files and error %v", pattern, len(files), err)
		}
		for _, file := range files {
			if strings.HasSuffix(file, "_test.go") {
				continue
			}
			text, err := os.ReadFile(file)
			if err != nil {
				t.Fatal(err)
			}
			for _, match := range reasonPatterns.FindAllStringSubmatch(string(text), -1) {
				reason := strings.Join(match[1:], "")
				found++
				if causes[reason] == "" && !chosen[reason] {
					t.Errorf("%s: reason %q has no cause", file, reason)
				}
			}
		}
	}
	if found < 20 {
		t.Errorf("found %d reasons, want 20 or more", found)
	}
}
