package settings_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/go-faster/errors"

	configv1 "github.com/fulmardoor/fulmardoor/api/config/v1"
	"github.com/fulmardoor/fulmardoor/internal/settings"
)

const entryText = `# entry of Kariakoo
[process]
name = entry-1
host = kariakoo-a
data_centre = kariakoo

[peers]
listen = 127.0.0.1:7000
heartbeat_interval = 250ms ; half the default

[platform]
store_url = http://127.0.0.1:2379

[callers]
listen = :8080
max_body_bytes = 1024

[admin]
listen = 127.0.0.1:9000
`

// Guards against values that are decoded into the wrong field, and against defaults that overwrite values of the file.
func TestLoadEntry(t *testing.T) {
	path := filepath.Join(t.TempDir(), "entry.ini")
	if err := os.WriteFile(path, []byte(entryText), 0o600); err != nil {
		t.Fatal(err)
	}
	s := &configv1.EntrySettings{}
	if err := settings.Load(path, s); err != nil {
		t.Fatal(err)
	}
	if s.Process.Name != "entry-1" || s.Callers.MaxBodyBytes != 1024 {
		t.Errorf("values of the file are missing: %v", s)
	}
	if got := s.Peers.HeartbeatInterval.AsDuration(); got != 250*time.Millisecond {
		t.Errorf("heartbeat interval %v", got)
	}
	if s.Process.Region != "default" || s.Ledger.Shards != 16 || s.Callers.DrainLimit.AsDuration() != 10*time.Minute {
		t.Errorf("defaults missing: %v", s)
	}
}

// Guards against a decoder that stops at the first fault, reports a wrong line, or shows a secret.
func TestDecodeReportsEveryFault(t *testing.T) {
	text := `[process]
name = entry 1
host = h
data_center = kariakoo
log_level = loud
[peers]
listen = localhost:7000
heartbeat_interval = 5
not a key
certificate_file = a.pem
[platform
[callers]
listen = :8080
max_body_bytes = 0
max_body_bytes = 5
[leger]
[admin]
listen = :9000
operators = amina:fd_0123456789abcdef:*
[process]
[admin "x"]
`
	err := settings.Decode("entry.ini", []byte(text), &configv1.EntrySettings{})
	var faults *settings.Faults
	if !errors.As(err, &faults) {
		t.Fatalf("error %T", err)
	}
	wanted := []string{
		`entry.ini:2: [process] name = "entry 1": bad value; allowed: 1 to 128`,
		`entry.ini:1: [process] data_centre: required key is missing`,
		`entry.ini:4: [process] data_center: unknown key; allowed: name, host, data_centre, region, log_level; did you mean "data_centre"?`,
		`entry.ini:5: [process] log_level = "loud": bad value; allowed: debug, info, warn, error`,
		`entry.ini:7: [peers] listen = "localhost:7000": bad value`,
		`entry.ini:8: [peers] heartbeat_interval = "5": bad value; allowed: a duration such as`,
		`entry.ini:9: [peers] line is neither`,
		`entry.ini:6: [peers] key_file: missing`,
		`entry.ini:6: [peers] authority_file: missing`,
		`entry.ini:11: [peers] section header without closing bracket`,
		`entry.ini: [platform] store_url: required key is missing`,
		`entry.ini:14: [callers] max_body_bytes = "0": bad value; allowed: a number from 1`,
		`entry.ini:15: [callers] key max_body_bytes is given twice`,
		`entry.ini:16: [leger] unknown section; allowed: process, peers, platform, callers, ledger, admin, caller_limits, admin_limits, peer_limits; did you mean "ledger"?`,
		`entry.ini:19: [admin] operators = "(not shown)": bad value`,
		`entry.ini:20: [process] section is given twice; first on line 1`,
		`entry.ini:21: [admin "x"] malformed section header; allowed: [admin]`,
	}
	got := err.Error()
	for _, line := range wanted {
		if !strings.Contains(got, line) {
			t.Errorf("no fault %q", line)
		}
	}
	if len(faults.List) != len(wanted) {
		t.Errorf("%d faults, want %d:\n%s", len(faults.List), len(wanted), got)
	}
	if strings.Contains(got, "0123456789abcdef") {
		t.Error("a secret is shown")
	}
}

// Guards against settings built in code that are not validated and get no defaults.
func TestValidateSidecar(t *testing.T) {
	s := &configv1.SidecarSettings{
		Process:  &configv1.ProcessSettings{Name: "s", Host: "h", DataCentre: "d"},
		Peers:    &configv1.PeerSettings{Listen: "127.0.0.1:0"},
		Platform: &configv1.PlatformSettings{StoreUrl: "http://127.0.0.1:1"},
		Upstream: &configv1.UpstreamSettings{Name: "u", Url: "http://127.0.0.1:2", Pool: "p", Role: "decode"},
		Admin:    &configv1.AdminSettings{Listen: ":0"},
	}
	if err := settings.ValidateSidecar(s); err != nil {
		t.Fatal(err)
	}
	settings.DefaultSidecar(s)
	if s.Upstream.Places != 20 || s.Upstream.Eviction.AsDuration() != 800*time.Millisecond {
		t.Errorf("defaults missing: %v", s.Upstream)
	}
	s.Upstream.Role = "encode"
	if err := settings.ValidateSidecar(s); err == nil || !strings.Contains(err.Error(), "prefill, decode, service") {
		t.Errorf("bad role: %v", err)
	}
}

// Guards against texts on which Decode panics or returns an error other than *Faults.
func FuzzDecode(f *testing.F) {
	f.Add([]byte(entryText))
	f.Add([]byte("[process]\nname=\"\"\"a\nb\n"))
	f.Add([]byte("\ufeff[process]\r\nname = a\\\r\n[]\n[x]y\n= 3\n-=1\n"))
	f.Fuzz(func(t *testing.T, text []byte) {
		err := settings.Decode("f", text, &configv1.EntrySettings{})
		var faults *settings.Faults
		if err != nil && !errors.As(err, &faults) {
			t.Fatalf("error %T: %v", err, err)
		}
		if err != nil && strings.Contains(err.Error(), "parse INI") {
			t.Fatalf("index and INI parser disagree: %v", err)
		}
	})
}
