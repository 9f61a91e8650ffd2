package main

import (
	"testing"

	"github.com/fulmardoor/fulmardoor/internal/relay"
	"github.com/fulmardoor/fulmardoor/platform"
)

// Guards against processes that cannot read each other's keys, of this version and the one before, and against keys of other writers that
// name no process.
func TestMemberValues(t *testing.T) {
	written := formatMember("10.0.0.1:7500", &platform.Settings{DataCentre: "dar es salaam", Cores: 0.109})
	for value, want := range map[string]relay.Member{
		written:         {Address: "10.0.0.1:7500", DataCentre: "dar es salaam", Cores: 0.109},
		"10.0.0.1:7500": {Address: "10.0.0.1:7500"},
	} {
		if got, err := parseMember(value); err != nil || got != want {
			t.Errorf("%q: %+v, %v", value, got, err)
		}
	}
	for _, value := range []string{"", " ", "10.0.0.1", "10.0.0.1:7500 ", "10.0.0.1:7500 a", "10.0.0.1:7500 a b", "10.0.0.1:7500 a -1", "10.0.0.1:7500 a NaN", "10.0.0.1:7500 a Inf", "0.0.0.0:1 a 1"} {
		if err := checkMember([]byte(value)); err == nil {
			t.Errorf("%q is taken for a process", value)
		}
	}
}
