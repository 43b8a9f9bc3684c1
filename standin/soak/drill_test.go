package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"bilberrytiller.example/standin/objectstore"
	"bilberrytiller.example/standin/originserver"
	"bilberrytiller.example/standin/relay"
)

const (
	// drillOutage is how long the store is away before it returns from a copy.
	drillOutage = 500 * time.Millisecond
	// rewriteDelay is how long the store has only the state of the copy.
	rewriteDelay = time.Second
	// pagedEntries is more than a page of a list.
	pagedEntries = 60
	// evacuatedZone is a data centre without servers that is evacuated.
	evacuatedZone = "z9"
	// lostWrites is how many revisions the copy is behind.
	lostWrites = 300
)

// drillCase is what else goes wrong while the store is restored.
type drillCase struct {
	// before runs before the outage, after once the writers have written again.
	before, after func(*Cluster)
	// cutOff reports that gateway 0 does not reach the store between the two.
	cutOff bool
}

func drillCases() map[string]drillCase {
	nothing := func(*Cluster) {}
	return map[string]drillCase{
		"nothing else": {nothing, nothing, false},
		"a gateway is cut off": {
			func(c *Cluster) { c.SetStorePath(0, relay.Blackhole) },
			func(c *Cluster) { c.SetStorePath(0, relay.Disconnect); c.SetStorePath(0, relay.Pass) }, true,
		},
		"answers of writes are lost": {
			func(c *Cluster) { c.Store.SetFaults(objectstore.Faults{DropWriteResponses: true}) }, nothing, false,
		},
		"pages of a list are late": {
			func(c *Cluster) {
				c.Store.SetFaults(objectstore.Faults{LateMs: 250})
				c.Store.CompactHistory()
				// The first pages are made before the restoration, the second ones after it.
				time.Sleep(300 * time.Millisecond)
			}, nothing, false,
		},
	}
}

// TestRestoredStoreIsFollowed guards against gateways that ignore a store which comes back
// from an older copy, until its revisions have passed those that they had: a version that
// was acknowledged 5 s before was in force on none. It also guards against what the copy
// takes back: a configuration, a server that was draining, one that was removed, and the
// gateways' own entries.
func TestRestoredStoreIsFollowed(t *testing.T) {
	for name, d := range drillCases() {
		t.Run(name, func(t *testing.T) { playDrill(t, d) })
	}
}

func playDrill(t *testing.T, d drillCase) {
	const gateways = 3
	cluster := startGateways(t, gateways, originserver.Options{Slots: 16, Work: 5 * time.Millisecond})
	for i := range pagedEntries {
		must(t, cluster.Store.Put("servers", fmt.Sprintf("odd-%02d", i), "text"))
	}
	for _, member := range cluster.Store.Names("tillers") {
		cluster.Store.Delete("tillers", member)
	}
	old := cluster.Store.Copy()
	for i := range lostWrites {
		must(t, cluster.Store.Put("noise", "n", i))
	}
	must(t, cluster.Configure(2))
	must(t, cluster.SetDraining("i-look0", true))
	cluster.RemoveServer("i-pay0")
	must(t, cluster.Store.Put("evacuations", evacuatedZone, map[string]any{}))
	time.Sleep(max(configBound, drainBound))
	checkInForce(t, cluster, gateways, 2)

	d.before(cluster)
	if !d.cutOff {
		cluster.Store.SetFaults(objectstore.Faults{Down: true})
	}
	time.Sleep(drillOutage)
	restored := time.Now()
	cluster.Store.Restore(old)
	cluster.Store.SetFaults(objectstore.Faults{})
	sendDuring(t, cluster, gateways, rewriteDelay)
	checkInForce(t, cluster, gateways, 2)
	must(t, cluster.Rewrite())
	must(t, cluster.Store.Put("evacuations", evacuatedZone, map[string]any{}))
	sendDuring(t, cluster, gateways, rewriteDelay)
	for _, id := range []string{"i-look0", "i-pay0"} {
		if n := len(slices.DeleteFunc(cluster.Runs.TimesOf(id), restored.After)); n > 0 {
			t.Errorf("%s began %d requests after the store was restored", id, n)
		}
	}
	checkEvacuated(t, cluster, gateways)
	d.after(cluster)
	must(t, cluster.Configure(3))
	time.Sleep(configBound)
	checkInForce(t, cluster, gateways, 3)
	eventually(t, "each gateway has written its entry again", func() bool { return len(cluster.Store.Names("tillers")) == gateways })
}

// TestRestorationIsUnnoticed restores the store again and again from copies of the last
// seconds, while the configuration changes and servers drain. No version may go back, no
// server that has been draining for long enough may get a request, and each request that
// ran must be answered.
func TestRestorationIsUnnoticed(t *testing.T) {
	for seed := *firstSeed; seed < *firstSeed+uint64(*seedCount); seed++ {
		t.Run(fmt.Sprint("seed-", seed), func(t *testing.T) { playRestorations(t, seed) })
	}
}

func playRestorations(t *testing.T, seed uint64) {
	cluster := startGateways(t, *plannedGateways, originserver.Options{Slots: 16, Work: 20 * time.Millisecond})
	p := &plannedWork{t: t, cluster: cluster, seed: seed, stop: make(chan struct{}), running: map[int]bool{}, version: 1, mustRun: true}
	for n := range *plannedGateways {
		p.running[n] = true
	}
	p.working.Go(func() { p.changeConfiguration(p.random(1000)) })
	p.working.Go(func() { p.drainServers(p.random(1001)) })
	p.working.Go(func() { p.restoreStore(p.random(1004)) })
	answers := make(chan int, *plannedClients)
	for c := range *plannedClients {
		go func() { answers <- p.client(c, p.random(2000+c)) }()
	}
	time.Sleep(2 * *plannedDuration)
	close(p.stop)
	p.working.Wait()
	answered := 0
	for range *plannedClients {
		answered += <-answers
	}
	if answered == 0 {
		t.Error("no request was answered with status 200")
	}
}

// restoreStore restores the store from copies made at random times, with the changes of
// the operator and the servers written again a while later.
func (p *plannedWork) restoreStore(random *rand.Rand) {
	copies := []objectstore.Copy{p.cluster.Store.Copy()}
	for p.pause(random, 2*time.Second) {
		copies = append(copies, p.cluster.Store.Copy())
		if random.IntN(2) == 0 {
			p.drill(random, copies[max(0, len(copies)-4):])
		}
	}
}

func (p *plannedWork) drill(random *rand.Rand, copies []objectstore.Copy) {
	p.changing.Lock()
	defer p.changing.Unlock()
	p.cluster.Store.SetFaults(objectstore.Faults{Down: true})
	time.Sleep(time.Duration(random.Int64N(int64(drillOutage))))
	p.cluster.Store.Restore(copies[random.IntN(len(copies))])
	p.cluster.Store.SetFaults(objectstore.Faults{LateMs: random.IntN(100)})
	time.Sleep(time.Duration(random.Int64N(int64(rewriteDelay))))
	p.checkVersions()
	if err := p.cluster.Rewrite(); err != nil {
		p.t.Error(err)
	}
	time.Sleep(storeRecovery)
	p.checkVersions()
}

func (p *plannedWork) checkVersions() {
	for n := range *plannedGateways {
		p.checkVersion(n)
	}
}

// checkEvacuated checks that each gateway began the evacuation and has not ended it.
func checkEvacuated(t *testing.T, cluster *Cluster, gateways int) {
	t.Helper()
	for n := range gateways {
		text, err := os.ReadFile(filepath.Join(cluster.dir, cluster.gateways[n].name+".log"))
		must(t, err)
		log := string(text)
		if !strings.Contains(log, "zone="+evacuatedZone+" on=true") || strings.Contains(log, "zone="+evacuatedZone+" on=false") {
			t.Errorf("gateway %d has not kept the evacuation in force", n)
		}
	}
}

// checkInForce checks that a version of the configuration, and not the one before it, is in
// force on all gateways: a request runs for its route only. For a route that it does not
// have, a gateway may say 404, or 503 while it does not deny.
func checkInForce(t *testing.T, cluster *Cluster, gateways, version int) {
	t.Helper()
	for n := range gateways {
		for v, want := range map[int]bool{version: true, version - 1: false} {
			id := fmt.Sprintf("probe-%d-%d-%d", time.Now().UnixNano(), v, n)
			status, _, err := sendRequest(http.DefaultClient, cluster.ClientURL(n), VersionPath(v)+"x", id)
			if ran := len(cluster.Runs.ServersOf(id)) > 0; ran != want {
				t.Errorf("gateway %d: route of version %d got status %d (%v), in force should be %d", n, v, status, err, version)
			}
		}
	}
}

// sendDuring sends requests to all gateways for a time. Each must be answered.
func sendDuring(t *testing.T, cluster *Cluster, gateways int, d time.Duration) {
	t.Helper()
	for end, i := time.Now().Add(d), 0; time.Now().Before(end); i++ {
		for _, path := range []string{"/look/x", "/pay/x"} {
			id := fmt.Sprintf("drill-%d-%s-%d", end.UnixNano(), path[1:4], i)
			status, body, err := sendRequest(http.DefaultClient, cluster.ClientURL(i%gateways), path, id)
			checkResponse(t, cluster, id, path, status, body, err)
			if status != http.StatusOK {
				t.Errorf("%s got status %d, error %v", id, status, err)
			}
		}
	}
}
