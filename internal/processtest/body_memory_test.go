package processtest

import (
	"bytes"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/fulmardoor/fulmardoor/internal/kv/memory"
	"github.com/fulmardoor/fulmardoor/platform/platformtest"
)

// Guards against a router that runs out of memory, and ends with the requests of all callers, because many callers send bodies of the permitted size
// at once, and against a refused one that runs or gets no answer.
func TestRouterMemoryUnderLargeBodies(t *testing.T) {
	t.Parallel()
	const callers, rounds, bodyBytes = 40, 6, 4 << 20
	service := platformtest.NewRunner(t, "i-service", "")
	service.SetDelay(60 * time.Millisecond)
	store := memory.New(memory.Options{})
	store.Put("op/config", []byte(strings.Replace(platformtest.StopConfig, `"max_body_bytes":1000000`, fmt.Sprintf(`"max_body_bytes":%d`, bodyBytes), 1)))
	store.Put("servers/"+service.ID, platformtest.Entry{Service: "shop", Address: service.Address, Zone: "here", Slots: 6}.Text())
	r := startRouterWith(t, store, platformtest.RouterSettings{Name: "router-1", StopGraceS: 8, MemoryMB: routerMemoryMB})
	body := bytes.Repeat([]byte("x"), bodyBytes)
	var running sync.WaitGroup
	var served, refused atomic.Int64
	for caller := range callers {
		running.Go(func() {
			client := &http.Client{Transport: &http.Transport{}, Timeout: stopRequestTimeout}
			defer client.CloseIdleConnections()
			for round := range rounds {
				request, err := http.NewRequest(http.MethodPost, "http://"+r.callerAddress+"/book/x", bytes.NewReader(body))
				if err != nil {
					t.Error(err)
					return
				}
				request.Host, request.GetBody = "h.example", nil // without GetBody the request is sent once
				platformtest.SetCallerHeaders(request.Header, fmt.Sprintf("%016x", 1+caller*rounds+round), "key-usual", int(stopRequestTimeout.Milliseconds()), false)
				response, err := client.Do(request)
				if err != nil {
					t.Errorf("no answer: %v", err)
					continue
				}
				_ = response.Body.Close()
				switch response.StatusCode {
				case http.StatusOK:
					served.Add(1)
				case http.StatusServiceUnavailable:
					refused.Add(1)
				default:
					t.Error(response.Status)
				}
			}
		})
	}
	running.Wait()
	peak := r.process.peakMemoryMB()
	t.Logf("%d MB at most, %d served, %d refused", peak, served.Load(), refused.Load())
	if peak > routerMemoryMB {
		t.Errorf("the router had %d MB, its machine has %d", peak, routerMemoryMB)
	}
	if runs := int64(service.Runs()); served.Load() == 0 || runs != served.Load() {
		t.Errorf("%d served, %d ran", served.Load(), runs)
	}
}
