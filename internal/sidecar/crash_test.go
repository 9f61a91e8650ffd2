package sidecar

import (
	"testing"
	"testing/synctest"
	"time"

	"google.golang.org/protobuf/proto"

	wirev1 "github.com/fulmardoor/fulmardoor/api/wire/v1"
)

// Guards against one crash of an upstream that entries count for each of the calls that it ends, and against two that they count once.
func TestCallsOfOneCrashHaveOneNonce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestSidecar(&fakeUpstream{})
		const broke = wirev1.Reason_REASON_UPSTREAM_BROKE
		time.Sleep(time.Second)
		first := s.outcomeNonce(broke)
		for range 3 {
			time.Sleep(crashSeparation / 4)
			if other := s.outcomeNonce(broke); !proto.Equal(other, first) {
				t.Errorf("nonces %v and %v of one crash", first, other)
			}
		}
		if other := s.outcomeNonce(wirev1.Reason_REASON_UPSTREAM_ERROR); proto.Equal(other, first) {
			t.Errorf("an outcome that is no crash has the nonce %v of one", other)
		}
		time.Sleep(crashSeparation)
		if other := s.outcomeNonce(broke); proto.Equal(other, first) {
			t.Errorf("two crashes have the nonce %v", other)
		}
	})
}
