package confsync

import (
	"testing"
	"time"
)

// Guards against changes that reach no process, because the store went back to a copy and gives out revisions again that the processes know.
func TestDocumentAfterStoreWentBackToCopy(t *testing.T) {
	inFleet(t, 3, func(f *fleet) {
		c := f.store.Copy()
		for rate := range 10 {
			f.store.write("hakata", teamText("hakata", rate+1))
		}
		time.Sleep(time.Second)
		f.store.Restore(c)
		want := f.store.write("kilimo", teamText("kilimo", 7))
		time.Sleep(3 * time.Second) // within which a change must be in force
		for name, n := range f.running() {
			if account, ok := n.Current().Account("kilimo-app"); !ok || account.GetRate() != 7 {
				t.Errorf("%s has not the change of revision %d", name, want)
			}
		}
	})
}
