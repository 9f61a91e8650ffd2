package ledger

import (
	"strings"
	"testing"
	"time"
)

// Guards against a shard that grants nothing for good, because another writer replaced its record and its owner ended afterwards.
func TestShardAfterOddRecord(t *testing.T) {
	for name, value := range map[string]string{
		"empty": "", "not JSON": "\xff\xfe", "deep": strings.Repeat("[", 100_000), "epoch too large": `{"owner":"a","successor":"b","epoch":1e400}`,
		"epoch of another type": `{"owner":"a","epoch":"7"}`, "negative epoch": `{"owner":"a","epoch":-1}`, "owner of another type": `{"owner":7}`,
	} {
		t.Run(name, func(t *testing.T) {
			runWithFleet(t, 1, oneAccount, fleetNames, func(t *testing.T, f *fleet) {
				owner := awaitOwner(t, f, 0, 5*time.Second)
				time.Sleep(5 * time.Second)
				f.store.Put(recordKey(0), []byte(value))
				time.Sleep(20 * time.Second)
				f.crash(owner)
				time.Sleep(60 * time.Second)
				if f.owner(0) == "" {
					t.Error("no owner a minute after the former one ended")
				}
			})
		})
	}
}

// Guards against a shard that grants nothing for good, because its owner ended just before another writer replaced its record.
func TestShardWhoseOwnerEndedBeforeOddRecord(t *testing.T) {
	runWithFleet(t, 1, oneAccount, fleetNames, func(t *testing.T, f *fleet) {
		f.crash(awaitOwner(t, f, 0, 5*time.Second))
		f.store.Put(recordKey(0), []byte("odd"))
		time.Sleep(60 * time.Second)
		if f.owner(0) == "" {
			t.Error("no owner a minute after the record turned odd")
		}
	})
}

// Guards against a record that can be decoded and names nobody, or an epoch after which there is none, and leaves its shard without an owner.
func TestShardAfterRecordOfNobody(t *testing.T) {
	for name, value := range map[string]string{
		"no fields": "{}", "null": "null", "last epoch": `{"owner":"nobody","successor":"","epoch":18446744073709551615}`, "unknown owner": `{"owner":"nobody","epoch":3}`,
	} {
		t.Run(name, func(t *testing.T) {
			runWithFleet(t, 1, oneAccount, fleetNames, func(t *testing.T, f *fleet) {
				awaitOwner(t, f, 0, 5*time.Second)
				time.Sleep(5 * time.Second)
				f.store.Put(recordKey(0), []byte(value))
				time.Sleep(60 * time.Second)
				if f.owner(0) == "" {
					t.Error("no owner after a minute")
				}
			})
		})
	}
}
