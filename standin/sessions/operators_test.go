package sessions

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http/httptest"
	"os/exec"
	"strconv"
	"strings"
	"sync"
	"testing"

	"bilberrytiller.example/standin/platform"
)

const (
	operatorCount    = 3
	editsPerOperator = 8
	exitConflict     = 3
)

// serviceEntry has the version of a service entry and the field that the
// operators increment.
type serviceEntry struct {
	Version uint64 `json:"version"`
	Data    struct {
		Class struct {
			Worth int `json:"worth"`
		} `json:"class"`
	} `json:"data"`
}

// runTillerctl runs a command of tillerctl against a platform. It returns
// standard output and exit code 0, or standard error and the exit code.
func runTillerctl(url string, args ...string) (string, int, error) {
	out, err := exec.Command("tillerctl", append([]string{"--platform", url}, args...)...).Output()
	var exit *exec.ExitError
	if errors.As(err, &exit) {
		return string(exit.Stderr), exit.ExitCode(), nil
	}
	return string(out), 0, err
}

func readService(url string) (serviceEntry, error) {
	var entry serviceEntry
	out, code, err := runTillerctl(url, "get", "-o", "json", "service.look")
	if err != nil || code != 0 {
		return entry, fmt.Errorf("tillerctl get exited with %d: %w", code, err)
	}
	return entry, json.Unmarshal([]byte(out), &entry)
}

// incrementWorth adds 1 to the worth of the service. After a conflict it reads
// the entry again and retries.
func incrementWorth(url string) error {
	for {
		entry, err := readService(url)
		if err != nil {
			return err
		}
		value := "class.worth=" + strconv.Itoa(entry.Data.Class.Worth+1)
		out, code, err := runTillerctl(url, "edit", "service.look", "--if-version", strconv.FormatUint(entry.Version, 10), value)
		switch {
		case err != nil:
			return err
		case code == 0:
			return nil
		case code != exitConflict:
			return fmt.Errorf("tillerctl edit exited with %d: %s", code, out)
		}
	}
}

// TestConcurrentEditsAreNotLost guards against edits that overwrite each other
// or are applied twice: several operators increment one field at the same time
// while the platform drops the responses of some writes. Each edit must count
// exactly once.
func TestConcurrentEditsAreNotLost(t *testing.T) {
	t.Parallel()
	p := platform.New()
	server := httptest.NewServer(p)
	defer server.Close()
	service := `{"schema":1,"kind":"service","name":"look","owner":"o","class":{"rank":"lookup","idempotent":true,"deadline":"1s"},"limits":{}}`
	if _, err := p.Replace("catalogue", "service.look", []byte(service)); err != nil {
		t.Fatal(err)
	}
	var group sync.WaitGroup
	for range operatorCount {
		group.Go(func() {
			for range editsPerOperator {
				p.SetFaults(platform.Faults{DropResponses: 1})
				if err := incrementWorth(server.URL); err != nil {
					t.Error(err)
				}
			}
		})
	}
	group.Wait()
	p.SetFaults(platform.Faults{})
	entry, err := readService(server.URL)
	if err != nil || entry.Data.Class.Worth != operatorCount*editsPerOperator {
		t.Errorf("worth is %d after %d edits: %v", entry.Data.Class.Worth, operatorCount*editsPerOperator, err)
	}
	if version := p.CatalogueVersion(); version != operatorCount*editsPerOperator+1 {
		t.Errorf("version is %d after %d edits", version, operatorCount*editsPerOperator)
	}
}

// TestHelpDoesNotPrintSecret checks that the help text does not print the value
// of --secret.
func TestHelpDoesNotPrintSecret(t *testing.T) {
	t.Parallel()
	const secret = "a-secret-that-nobody-prints"
	out, code, err := runTillerctl("http://127.0.0.1:1", "--secret", secret, "status", "--help")
	if err != nil || code != 0 || strings.Contains(out, secret) {
		t.Errorf("got exit code %d, error %v, output %q; want 0 and no secret", code, err, out)
	}
}
