package lockorder_test

import (
	"io/fs"
	"os"
	"path/filepath"
	"testing"

	"github.com/fulmardoor/fulmardoor/internal/lockorder"
)

const module = "github.com/fulmardoor/fulmardoor"

// Guards against two components of a program that call each other under their mutexes: if both do so at the same moment, both hang for good.
func TestNoMutexesInOppositeOrders(t *testing.T) {
	// The go command reads the sources in a process of its own. What a test calls os.Stat on makes its cached result depend on it.
	_ = filepath.WalkDir("../..", func(path string, entry fs.DirEntry, err error) error {
		if err == nil && filepath.Ext(path) == ".go" {
			_, _ = os.Stat(path)
		}
		return err
	})
	orders, err := lockorder.Orders("../..", module, "./cmd/...")
	if err != nil {
		t.Fatal(err)
	}
	if len(orders) < 20 {
		t.Errorf("found %d orders of mutexes; the analysis does not see the program", len(orders))
	}
	for _, o := range lockorder.Inversions(orders) {
		t.Error(o)
	}
}

// Guards against an analysis that misses an inversion through a callback, or finds one where a mutex was unlocked before.
func TestInversionThroughCallback(t *testing.T) {
	orders, err := lockorder.Orders(".", module, "./testdata/inverted")
	if err != nil {
		t.Fatal(err)
	}
	const prefix = "internal/lockorder/testdata/inverted."
	want := map[[2]string]bool{{prefix + "health.mu", prefix + "mesh.mu"}: true, {prefix + "mesh.mu", prefix + "health.mu"}: true}
	for _, o := range lockorder.Inversions(orders) {
		if !want[[2]string{o.Held, o.Locked}] {
			t.Errorf("unexpected: %v", o)
		}
		delete(want, [2]string{o.Held, o.Locked})
	}
	for missing := range want {
		t.Errorf("not found: %s held, %s locked", missing[0], missing[1])
	}
}
