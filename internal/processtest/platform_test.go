package processtest

import (
	"context"
	"encoding/base64"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/fulmardoor/fulmardoor/internal/admin"
	"github.com/fulmardoor/fulmardoor/internal/confsync"
	"github.com/fulmardoor/fulmardoor/internal/kv/etcdwire"
	"github.com/fulmardoor/fulmardoor/standin/platform"
)

// withModel returns the document with one more model, whose name makes the version recognisable.
func (d *deployment) withModel(name string) string {
	return d.document(func(text *ini) { text.section(fmt.Sprintf("model %q", name), "patience", "10") })
}

// waitModel waits until an entry process serves the version with a model.
func (d *deployment) waitModel(e *entryHost, name string) {
	d.t.Helper()
	eventually(d.t, e.name+" has "+name, func() string {
		a := answer{}
		response := send(d.t.Context(), &a, http.MethodGet, e.url()+"/v1/models", d.keys[0], "", nil)
		if response == nil {
			return a.String()
		}
		defer func() { _ = response.Body.Close() }()
		if body := readAll(response); !strings.Contains(body, name) {
			return body
		}
		return ""
	})
}

// waitSuccessors waits until each ledger shard has a successor, which confirms its owner while the platform is down. The
// first owners name them within seconds of the start of the fleet.
func (d *deployment) waitSuccessors() {
	d.t.Helper()
	for _, e := range d.entries {
		eventually(d.t, "successors of ledger shards", func() string {
			status, err := d.adminClient(e).Status(d.t.Context())
			if err != nil {
				return err.Error()
			}
			for _, s := range status.Shards {
				if s.Successor == "" || s.State != "granting" && s.State != "remote" {
					return fmt.Sprintf("%+v", s)
				}
			}
			return ""
		})
	}
}

// waitFresh waits until each entry process has a confirmation that its configuration is the newest.
func (d *deployment) waitFresh() {
	d.t.Helper()
	for _, e := range d.entries {
		eventually(d.t, e.name+" is fresh", func() string {
			status, err := d.adminClient(e).Status(d.t.Context())
			if err != nil {
				return err.Error()
			}
			if want := confsync.Fresh.String(); status.State != want {
				return status.State
			}
			return ""
		})
	}
}

// Guards H5, H6 and H10: the key-value service is down for longer than the freshness limit, and then slow. Requests go on,
// and apply says what is true.
func TestPlatformDownAndSlow(t *testing.T) {
	t.Parallel()
	s := whole
	s.entries = 3
	d := deploy(t, s)
	d.waitSuccessors()
	load := startTraffic(8, d.urls(), d.mixed)
	d.waitWhole(load, 20)
	d.platformFaults(platform.Faults{Down: true})
	_, stderr, status := d.ctl(d.entries[0], "document", "apply", d.write("down.ini", d.withModel("while-down")))
	if status != 1 || strings.Contains(stderr, "accepted") || strings.Contains(stderr, "unknown") || stderr == "" {
		t.Errorf("apply while the store is down: status %d, %s", status, stderr)
	}
	time.Sleep(2*confsync.FreshnessLimit - time.Second)
	d.waitWhole(load, 40)
	d.platformFaults(platform.Faults{})
	d.waitFresh()
	d.mustApply(d.withModel("after-outage"))
	for _, e := range d.entries {
		d.waitModel(e, "after-outage")
	}
	d.platformFaults(platform.Faults{DelayMS: 400})
	d.mustApply(d.withModel("while-slow"))
	for _, e := range d.entries {
		d.waitModel(e, "while-slow")
	}
	d.waitWhole(load, 20)
	d.allWhole(load.stop())
	if out := d.mustCtl("document", "show", "--team", team); strings.Contains(out, "while-down") {
		t.Error("the store has the document that was not accepted")
	}
}

// Guards H10: answers of the key-value service are lost after the write took effect.
func TestApplyWithLostAnswers(t *testing.T) {
	t.Parallel()
	d := prepare(t)
	store := startRelay(t, d.platformAddress)
	d.storeURL = "http://" + store.address
	d.deployHere(shape{entries: 1, services: 1})

	d.platformFaults(platform.Faults{LoseAnswers: 1})
	d.mustApply(d.withModel("answer-lost"))
	d.waitModel(d.entries[0], "answer-lost")

	// From the write of the document on nothing is answered, so that nobody can tell what became of it.
	store.loseAnswersFrom(etcdwire.PathTxn, base64.StdEncoding.EncodeToString([]byte(confsync.Prefix+team)))
	file := d.write("unknown.ini", d.withModel("outcome-unknown"))
	_, stderr, status := d.ctl(d.entries[0], "document", "apply", file)
	if status != 1 || !strings.Contains(stderr, "unknown whether the change took effect") {
		t.Errorf("apply without any answer: status %d, %s", status, stderr)
	}
	store.heal()
	eventually(t, "the change is known to have taken effect", func() string {
		stdout, stderr, status := d.ctl(d.entries[0], "document", "diff", file)
		if status != 0 || !strings.Contains(stdout, "no changes") {
			return stdout + stderr
		}
		return ""
	})
	d.waitModel(d.entries[0], "outcome-unknown")
}

// Guards H10, H6 and H5: all connections to the platform go silent, while new ones work. Requests go on, and a change still
// gets everywhere although the watches hear nothing any more.
func TestSilentPlatformConnections(t *testing.T) {
	t.Parallel()
	d := prepare(t)
	store := startRelay(t, d.platformAddress)
	d.storeURL = "http://" + store.address
	d.deployHere(whole)
	d.waitSuccessors()
	load := startTraffic(6, d.urls(), d.mixed)
	d.waitWhole(load, 20)
	if store.silence() == 0 {
		t.Fatal("no connection to silence")
	}
	file := d.write("silent.ini", d.withModel("after-silence"))
	eventually(t, "the change is accepted", func() string {
		if _, stderr, status := d.ctl(d.entries[0], "document", "apply", file); status != 0 {
			return stderr
		}
		return ""
	})
	for _, e := range d.entries {
		d.waitModel(e, "after-silence")
	}
	d.waitFresh()
	d.waitWhole(load, 20)
	d.allWhole(load.stop())
}

// Guards H10: two operators apply different changes of the same version at the same time, through two entry processes.
// Exactly one is accepted, and the other is told so with the version that won.
func TestTwoOperatorsRace(t *testing.T) {
	t.Parallel()
	d := deploy(t, shape{entries: 2, services: 1})
	for round := range 10 {
		_, revision, err := d.adminClient(d.entries[0]).Document(t.Context(), team)
		if err != nil {
			t.Fatal(err)
		}
		replies := make([]admin.ApplyReply, len(d.entries))
		errs := make([]error, len(d.entries))
		var both sync.WaitGroup
		for i, e := range d.entries {
			text := d.withModel(fmt.Sprintf("round-%d-operator-%d", round, i))
			both.Go(func() {
				replies[i], errs[i] = d.adminClient(e).Apply(context.Background(), team, []byte(text), revision)
			})
		}
		both.Wait()
		winner := 0
		if replies[1].Outcome == admin.OutcomeAccepted {
			winner = 1
		}
		won, lost := replies[winner], replies[1-winner]
		name := fmt.Sprintf("round-%d-operator-%d", round, winner)
		if errs[0] != nil || errs[1] != nil || won.Outcome != admin.OutcomeAccepted || lost.Outcome != admin.OutcomeLostRace ||
			lost.Revision != won.Revision || !strings.Contains(lost.OtherText, name) {
			t.Fatalf("round %d: %+v, %+v, errors %v", round, won, lost, errs)
		}
		for _, e := range d.entries {
			d.waitModel(e, name)
		}
	}
}

// Guards H10: an entry process that starts while the platform is absent takes the configuration from its peers and serves.
func TestEntryStartsWithoutPlatform(t *testing.T) {
	t.Parallel()
	d := prepare(t)
	d.startPlatform()
	d.addUpstreams(whole)
	for i := range 3 {
		d.addEntry(i, 3)
	}
	late := d.entries[2]
	d.entries = d.entries[:2]
	for _, e := range d.entries {
		d.startEntry(e)
	}
	d.waitHealthy()
	d.mustApply(d.document(nil))
	d.waitReady()
	d.waitSuccessors()
	d.platform.kill()
	d.startEntry(late)
	d.entries = append(d.entries, late)
	d.waitReady()
	load := startTraffic(4, []string{late.url()}, d.mixed)
	d.waitWhole(load, 20)
	d.allWhole(load.stop())
}

// Guards H6 and H3: an entry process with neither platform nor peer refuses every request truthfully, and serves once the
// platform is there.
func TestEntryStartsAlone(t *testing.T) {
	t.Parallel()
	d := prepare(t)
	d.addUpstreams(shape{services: 1, prefill: 1, decode: 1})
	d.addEntry(0, 1)
	d.startEntry(d.entries[0])
	d.waitHealthy()
	for _, a := range []answer{
		d.booking(t.Context(), d.entries[0].url(), 1), d.completion(t.Context(), d.entries[0].url(), 2),
	} {
		if a.status != http.StatusServiceUnavailable || a.verdict != "not run" || a.code != "no_configuration" {
			t.Errorf("without configuration: %v", a)
		}
	}
	response, err := caller.Get(d.entries[0].admURL() + "/readyz")
	if err != nil {
		t.Fatal(err)
	}
	if body := readAll(response); response.StatusCode != http.StatusServiceUnavailable {
		t.Errorf("ready without configuration: %s %s", response.Status, body)
	}
	d.startPlatform()
	eventually(t, "the document is accepted", func() string {
		_, stderr, status := d.ctl(d.entries[0], "document", "apply", d.write("document.ini", d.document(nil)))
		if status != 0 {
			return stderr
		}
		return ""
	})
	d.waitReady()
	d.allWhole([]answer{
		d.booking(t.Context(), d.entries[0].url(), 3), d.completion(t.Context(), d.entries[0].url(), 4),
	})
}
