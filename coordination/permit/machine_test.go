package permit

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"bilberrytiller.example/tiller/state/request"
)

func TestMain(m *testing.M) {
	// These are defaults: m.Run parses the command line later, so flags given
	// there take precedence.
	for name, value := range map[string]string{"rapid.seed": "20", "rapid.checks": "20000", "rapid.steps": "150", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// node is one incarnation and the successors that it knows.
type node struct {
	name       string
	table      *Table
	receiver   *Receiver
	successors *Successors
	transfer   *Transfer
	dead       bool
	// skew is how far the node's clock is ahead of the model's.
	skew time.Duration
}

// openRun is a run that has not ended.
type openRun struct {
	node *node
	key  Key
	run  *Run
}

// fleet is the model: the nodes, the messages in flight between them, and how
// often each key has actually run.
type fleet struct {
	issuer   *Issuer
	now      time.Time
	nodes    []*node
	keys     []Key
	open     []openRun
	messages []func()
	runs     map[string]int
	// notRun holds the keys whose callers were told that the request did not
	// run.
	notRun map[string]bool
}

// keyTTL is the life of a key by the clock of the node that issues it.
const keyTTL = 2 * ExpiryMargin

func newFleet() *fleet {
	return &fleet{issuer: NewIssuer([]byte("secret"), rand.NewChaCha8([32]byte{})), now: time.Unix(1e9, 0), runs: map[string]int{}, notRun: map[string]bool{}}
}

func (f *fleet) pick(t *rapid.T, label string) *node {
	n := f.nodes[rapid.IntRange(0, len(f.nodes)-1).Draw(t, label)]
	if n.dead {
		t.Skip("node was killed")
	}
	return n
}

func (f *fleet) start(t *rapid.T) {
	if len(f.nodes) >= 5 {
		t.Skip("enough nodes")
	}
	n := &node{name: fmt.Sprintf("n%d", len(f.nodes)), successors: NewSuccessors()}
	n.skew = rapid.SampledFrom([]time.Duration{0, ExpiryMargin / 2, ExpiryMargin}).Draw(t, "skew")
	n.table = NewTable(n.name, Limits{MaxKeys: 20, MaxAnswerBytes: 64})
	n.receiver = NewReceiver(n.name, n.table)
	f.nodes = append(f.nodes, n)
}

func (f *fleet) issue(t *rapid.T) {
	f.keys = slices.DeleteFunc(f.keys, func(k Key) bool { return f.now.Sub(k.Expires) > 2*ExpiryMargin })
	if len(f.keys) >= 5 {
		t.Skip("enough keys")
	}
	owner := f.pick(t, "owner")
	key, err := f.issuer.Issue(owner.name, f.clock(owner).Add(keyTTL))
	if err != nil {
		t.Fatal(err)
	}
	f.keys = append(f.keys, key)
}

// send sends a request to a random node. A node that does not own the key
// forwards the request to the owner that it knows.
func (f *fleet) send(t *rapid.T) {
	if len(f.keys) == 0 {
		t.Skip("no keys")
	}
	key := rapid.SampledFrom(f.keys).Draw(t, "key")
	n := f.pick(t, "entry")
	for range 4 {
		run, first, err := n.table.Begin(key, &request.Request{Service: "payments"}, f.clock(n))
		if err == nil {
			f.recordBegin(t, n, key, run, first)
			return
		}
		owner, _ := n.successors.Resolve(key.Owner)
		var next *node
		for _, other := range f.nodes {
			if other.name == owner && other != n && !other.dead {
				next = other
			}
		}
		if next == nil {
			return
		}
		n = next
	}
}

func (f *fleet) recordBegin(t *rapid.T, n *node, key Key, run *Run, first bool) {
	if key.Expired(f.clock(n)) {
		t.Fatalf("key %s is accepted after its expiry", key.nonce)
	}
	if first && f.notRun[key.nonce] {
		t.Fatalf("key %s starts a run after its caller was told that it did not run", key.nonce)
	}
	if first {
		f.open = append(f.open, openRun{n, key, run})
		return
	}
	if run.isDone() && run.Answer().Outcome == request.OutcomeDone && f.runs[key.nonce] != 1 {
		t.Fatalf("key %s is answered as done after %d runs", key.nonce, f.runs[key.nonce])
	}
	if run.isDone() && run.Answer().Outcome == request.OutcomeNotRun && f.runs[key.nonce] != 0 {
		t.Fatalf("key %s is answered as not run after %d runs", key.nonce, f.runs[key.nonce])
	}
}

func (f *fleet) finish(t *rapid.T) {
	if len(f.open) == 0 {
		t.Skip("no runs")
	}
	i := rapid.IntRange(0, len(f.open)-1).Draw(t, "run")
	o := f.open[i]
	f.open = append(f.open[:i:i], f.open[i+1:]...)
	outcome := rapid.SampledFrom([]request.Outcome{request.OutcomeDone, request.OutcomeNotRun, request.OutcomeUnknown}).Draw(t, "outcome")
	if outcome != request.OutcomeNotRun {
		f.runs[o.key.nonce]++
	} else if f.runs[o.key.nonce] != 0 {
		t.Fatalf("key %s is reported as not run after a run", o.key.nonce)
	}
	if !o.node.dead {
		f.notRun[o.key.nonce] = outcome == request.OutcomeNotRun
		o.node.table.Finish(o.key, o.run, request.Answer{Outcome: outcome, Body: make([]byte, 40)})
	}
}

// handOver sends the keys of a stopping node to its successor. Runs may still
// be open, as when the stop timeout expires.
func (f *fleet) handOver(t *rapid.T) {
	n := f.pick(t, "from")
	to := f.pick(t, "to")
	if n.transfer == nil && f.stopping() > len(f.nodes)-3 {
		t.Skip("enough nodes are stopping")
	}
	if n.transfer == nil {
		n.table.Freeze()
		n.transfer = NewTransfer(n.table.Export(f.clock(n).Add(keyTTL)))
		n.transfer.chunkRecords = 1
	}
	if to == n || n.transfer.Refused(to.name) || n.transfer.Complete() {
		t.Skip("node cannot be the successor")
	}
	chunks := n.transfer.ChooseSuccessor(to.name)
	chosen, _ := n.transfer.Successor()
	for _, other := range f.nodes {
		if other.name != chosen {
			continue
		}
		for _, c := range chunks {
			f.messages = append(f.messages, func() { f.deliver(n, other, c) })
		}
	}
}

func (f *fleet) deliver(from, to *node, c Chunk) {
	if to.dead {
		return
	}
	receipt, whole, err := to.receiver.Accept(c, f.clock(to))
	if err != nil {
		return
	}
	f.messages = append(f.messages, func() { from.transfer.RecordReceipt(to.name, receipt) })
	if whole == nil {
		return
	}
	f.messages = append(f.messages, func() {
		for _, n := range f.nodes {
			_ = n.successors.Record(from.name, to.name, whole.Expires(), f.clock(n))
		}
	})
}

func (f *fleet) stopping() int {
	count := 0
	for _, n := range f.nodes {
		if n.transfer != nil {
			count++
		}
	}
	return count
}

// network delivers, duplicates or loses one message.
func (f *fleet) network(t *rapid.T) {
	if len(f.messages) == 0 {
		t.Skip("no messages")
	}
	i := rapid.IntRange(0, len(f.messages)-1).Draw(t, "message")
	deliver := f.messages[i]
	action := rapid.SampledFrom([]string{"deliver", "deliver", "repeat", "lose"}).Draw(t, "action")
	if action != "repeat" {
		f.messages = append(f.messages[:i:i], f.messages[i+1:]...)
	}
	if action != "lose" {
		deliver()
	}
}

func (f *fleet) kill(t *rapid.T) {
	if len(f.nodes) < 3 || rapid.IntRange(0, 19).Draw(t, "rarely") > 0 {
		t.Skip("kills are rare")
	}
	f.pick(t, "killed").dead = true
}

// wait lets time pass and purges each node.
func (f *fleet) wait(t *rapid.T) {
	passed := rapid.SampledFrom([]time.Duration{time.Second, pendingTimeout + 1, ExpiryMargin / 2}).Draw(t, "passed")
	f.now = f.now.Add(passed)
	for _, n := range f.nodes {
		if !n.dead {
			n.table.Purge(f.clock(n))
			n.receiver.Purge(f.clock(n))
		}
	}
}

func (f *fleet) clock(n *node) time.Time { return f.now.Add(n.skew) }

func (f *fleet) check(t *rapid.T) {
	for nonce, runs := range f.runs {
		if runs > 1 {
			t.Fatalf("key %s ran %d times", nonce, runs)
		}
	}
}

// TestNoKeyRunsTwiceAcrossHandovers runs random sequences of requests,
// handovers, kills, and lost, duplicated and reordered messages, on clocks that
// differ by up to ExpiryMargin and move past the expiry of keys. No key may run
// twice, no key may run if its caller was told that it did not, and none may be
// accepted after its expiry.
func TestNoKeyRunsTwiceAcrossHandovers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet()
		for range 3 {
			f.start(t)
			f.issue(t)
		}
		t.Repeat(map[string]func(*rapid.T){
			"start": f.start, "issue": f.issue, "send": f.send, "finish": f.finish,
			"handOver": f.handOver, "network": f.network, "kill": f.kill, "wait": f.wait, "": f.check,
		})
	})
}
