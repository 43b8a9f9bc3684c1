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
	operators      = 3
	editsEach      = 8
	exitOfConflict = 3
)

// worth is the part of an entry that the operators count up.
type worth struct {
	Version uint64 `json:"version"`
	Data    struct {
		Class struct {
			Worth int `json:"worth"`
		} `json:"class"`
	} `json:"data"`
}

// tillerctl runs one command against a platform.
func tillerctl(url string, args ...string) (string, int, error) {
	out, err := exec.Command("tillerctl", append([]string{"--platform", url}, args...)...).Output()
	var exit *exec.ExitError
	if errors.As(err, &exit) {
		return string(exit.Stderr), exit.ExitCode(), nil
	}
	return string(out), 0, err
}

func readWorth(url string) (worth, error) {
	var w worth
	out, code, err := tillerctl(url, "get", "-o", "json", "service.look")
	if err != nil || code != 0 {
		return w, fmt.Errorf("get ended with %d: %w", code, err)
	}
	return w, json.Unmarshal([]byte(out), &w)
}

// countUp adds one to the worth, and begins anew after each conflict.
func countUp(url string) error {
	for {
		w, err := readWorth(url)
		if err != nil {
			return err
		}
		value := "class.worth=" + strconv.Itoa(w.Data.Class.Worth+1)
		out, code, err := tillerctl(url, "edit", "service.look", "--if-version", strconv.FormatUint(w.Version, 10), value)
		switch {
		case err != nil:
			return err
		case code == 0:
			return nil
		case code != exitOfConflict:
			return fmt.Errorf("edit ended with %d: %s", code, out)
		}
	}
}

// TestOperatorsLoseNoEdit lets operators count up one field at once while
// the platform loses the answers of some writes. Each edit counts once.
func TestOperatorsLoseNoEdit(t *testing.T) {
	t.Parallel()
	p := platform.New()
	server := httptest.NewServer(p)
	defer server.Close()
	service := `{"schema":1,"kind":"service","name":"look","owner":"o","class":{"rank":"lookup","idempotent":true,"deadline":"1s"},"limits":{}}`
	if _, err := p.Replace("catalogue", "service.look", []byte(service)); err != nil {
		t.Fatal(err)
	}
	var group sync.WaitGroup
	for range operators {
		group.Go(func() {
			for range editsEach {
				p.SetFaults(platform.Faults{DropResponses: 1})
				if err := countUp(server.URL); err != nil {
					t.Error(err)
				}
			}
		})
	}
	group.Wait()
	p.SetFaults(platform.Faults{})
	w, err := readWorth(server.URL)
	if err != nil || w.Data.Class.Worth != operators*editsEach {
		t.Errorf("worth is %d after %d edits: %v", w.Data.Class.Worth, operators*editsEach, err)
	}
	if version := p.CatalogueVersion(); version != operators*editsEach+1 {
		t.Errorf("version is %d after %d edits", version, operators*editsEach)
	}
}

// TestConflictShowsNoSecret checks that no output repeats the secret.
func TestConflictShowsNoSecret(t *testing.T) {
	t.Parallel()
	const secret = "a-secret-that-nobody-prints"
	out, code, err := tillerctl("http://127.0.0.1:1", "--secret", secret, "status", "--help")
	if err != nil || code != 0 || strings.Contains(out, secret) {
		t.Errorf("got %d, %v, %q", code, err, out)
	}
}
