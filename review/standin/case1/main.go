// Command case1 plays outages of the platform's store and then looks after each whether the routers follow the store.
package main

import (
	"flag"
	"fmt"
	"os"
	"runtime"
	"sync"
	"time"

	"review/lab"
)

func init() { runtime.LockOSThread() } // the routers end with the thread that started them

const revoked, kept = "3d3zji9n73hh2b9wu3fe", "xd9dnn2ctnfzs989anu6"

const (
	contact     = 3 * time.Second // contact_ms
	configApply = 2 * time.Second // config_apply_ms
	memoryMB    = 134             // limits.memory_mb
	margin      = 100 * time.Millisecond
)

var (
	root    = flag.String("root", ".", "repository")
	dir     = flag.String("dir", "", "temporary folder")
	record  = flag.String("record", "record.txt", "file for what was sent, answered and run")
	fronts  = flag.Int("fronts", 12, "number of front machines")
	outages = flag.Int("outages", 16, "number of outages of the store")
	down    = flag.Duration("down", 1000*time.Millisecond, "length of an outage")
	cores   = flag.Int("cores", 4, "cores that the machines show to the routers")
	trouble = flag.Bool("trouble", true, "play the outages")
)

func main() {
	flag.Parse()
	os.Exit(play())
}

func play() int {
	out, err := os.Create(*record)
	if err != nil {
		fmt.Println(err)
		return 2
	}
	defer func() { _ = out.Close() }()
	began := time.Now()
	var mu sync.Mutex
	say := func(format string, args ...any) {
		mu.Lock()
		defer mu.Unlock()
		fmt.Fprintf(out, "%8.3f  %s\n", time.Since(began).Seconds(), fmt.Sprintf(format, args...))
	}
	fail := func(err error) int {
		say("the case could not run: %v", err)
		return 2
	}
	store := lab.NewStore()
	zones := []string{"kariakoo", "msasani", "ubungo", "temeke"}
	var runners []*lab.Runner
	for i, zone := range zones {
		runner, err := lab.StartRunner(fmt.Sprintf("i-7f3a91c%d", i), "wuno96b", zone, 20*time.Millisecond)
		if err != nil {
			return fail(err)
		}
		runners = append(runners, runner)
		store.Put("servers/"+runner.ID, runner.Entry("ready"))
	}
	route := lab.PlainRoute("r-look", "/puxa403/", "idempotent", "wuno96b", 2)
	store.Put("op/config", lab.Config(7, []map[string]any{route}, []string{"wuno96b"}, lab.Tenant("huka270", revoked, kept)))
	var machines []*lab.Machine
	defer func() {
		for _, m := range machines {
			m.End()
		}
	}()
	for i := range *fronts {
		zone := zones[i%len(zones)]
		name := fmt.Sprintf("front-%s-%d", zone, 1+i/len(zones))
		address, err := store.Path(name)
		if err != nil {
			return fail(err)
		}
		m, err := lab.NewMachine(*root, *dir, name, fmt.Sprintf("127.0.0.%d", 11+i), zone, address, map[string]string{"limits.cores": fmt.Sprint(*cores)})
		if err != nil {
			return fail(err)
		}
		m.Env = []string{fmt.Sprintf("GOMAXPROCS=%d", *cores)} // what a Go program finds on a machine with so many cores
		if err := m.Start(); err != nil {
			return fail(err)
		}
		machines = append(machines, m)
		go m.WatchMemory(memoryMB, func(mb int) { say("the platform ends %s, which has %d MB of memory, and starts it again", m.Name, mb) })
	}
	for limit := time.Now().Add(15 * time.Second); ; time.Sleep(100 * time.Millisecond) {
		ready := 0
		for _, m := range machines {
			if m.IsReady() {
				ready++
			}
		}
		if ready == len(machines) {
			break
		}
		if time.Now().After(limit) {
			return fail(fmt.Errorf("%d of %d routers are ready", ready, len(machines)))
		}
	}
	time.Sleep(6 * time.Second) // until the routers know each other
	say("%d routers are ready; members: %v", len(machines), store.Keys("fulmardoor/"))
	for _, m := range machines {
		a := m.Send("GET", lab.Host, "/puxa403/1", revoked, "")
		say("%s, before any outage: %v", m.Name, a)
		if a.Status != 200 {
			return fail(fmt.Errorf("before any outage, %s: %v", m.Name, a))
		}
	}
	if !*trouble {
		store.SetMode(lab.Up)
	}
	key := revoked
	for i := range *outages {
		if *trouble {
			store.SetMode(lab.Busy)
			say("outage %d of the store: each call is answered 503 for %v", i+1, *down)
			time.Sleep(*down)
			store.SetMode(lab.Up)
			say("the store answers again")
		}
		time.Sleep(contact + margin)
		dropped := key
		key = fmt.Sprintf("xd9dnn2ctnfzs989a%03d", i)
		acked := store.Put("op/config", lab.Config(8+i, []map[string]any{route}, []string{"wuno96b"}, lab.Tenant("huka270", kept, key)))
		say("acknowledged: version %d, without the key %s; the store has been up for %v", 8+i, dropped, contact+margin)
		time.Sleep(time.Until(acked.Add(configApply + margin)))
		var probes sync.WaitGroup
		broken := map[string]bool{}
		for _, m := range machines {
			probes.Go(func() {
				if time.Since(m.KilledAt()) < contact+margin {
					return // not in touch; the record has it
				}
				a := m.Send("GET", lab.Host, "/puxa403/2", dropped, "")
				b := m.Send("GET", lab.Host, "/puxa403/3", key, "")
				say("%s, %d ms after the acknowledgement: the dropped key: %v; the new key: %v", m.Name, a.Sent.Sub(acked).Milliseconds(), a, b)
				if a.Status == 200 || b.Status == 401 {
					mu.Lock()
					broken[m.Name] = true
					mu.Unlock()
				}
			})
		}
		probes.Wait()
		if len(broken) == 0 {
			continue
		}
		for _, runner := range runners {
			for _, run := range runner.Runs() {
				say("run: %s at %s, %.3f s after the last acknowledgement", run.ID, run.Runner, run.At.Sub(acked).Seconds())
			}
		}
		for _, m := range machines {
			if !broken[m.Name] {
				continue
			}
			say("BROKEN: CONFIG: %s handled requests as only an older version allows; it says that it is ready: %v", m.Name, m.IsReady())
			for _, line := range m.Dump("follow.(*Health)", "peering.(*Mesh)") {
				say("%s, where it waits: %s", m.Name, line)
			}
		}
		say("result: the rule was broken by %d of %d routers after %d outages; the platform ended routers for their memory %d times",
			len(broken), len(machines), i+1, kills(machines))
		return 1
	}
	say("result: the rule held; the platform ended routers for their memory %d times", kills(machines))
	return 0
}

// kills returns how often the platform ended a router for its memory.
func kills(machines []*lab.Machine) (n int64) {
	for _, m := range machines {
		n += m.Kills()
	}
	return n
}
