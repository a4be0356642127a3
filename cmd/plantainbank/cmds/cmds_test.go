package cmds

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/plantainbank/plantainbank/pkg/process/disk"
	"github.com/plantainbank/plantainbank/pkg/process/settings"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"plantainbank": func() { os.Exit(Main(os.Args[1:], os.Stdout, os.Stderr)) },
	})
}

// TestScripts runs the scripts in testdata against the command line. $FOLLOWER is the address of a stand-in for a
// control process that redirects each call to its leader, which serves the files of the script's folder "leader".
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{Dir: "testdata", Setup: func(e *testscript.Env) error {
		fixtures, err := filepath.Abs("../../../_fixtures")
		e.Setenv("FIXTURES", fixtures)
		leader := httptest.NewServer(http.FileServer(http.Dir(filepath.Join(e.WorkDir, "leader"))))
		follower := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			http.Redirect(w, r, leader.URL+r.URL.RequestURI(), http.StatusTemporaryRedirect)
		}))
		e.Defer(leader.Close)
		e.Defer(follower.Close)
		e.Setenv("FOLLOWER", follower.Listener.Addr().String())
		return err
	}})
}

// TestPagesAreCurrent checks that docs/cli matches the command table.
func TestPagesAreCurrent(t *testing.T) {
	for name, want := range Pages() {
		got, err := os.ReadFile(filepath.Join("../../../docs/cli", name))
		if err != nil || !bytes.Equal(got, []byte(want)) {
			t.Errorf("docs/cli/%s is not current (run make docs): %v", name, err)
		}
	}
}

// TestMutualTLS checks with certificates from "cert new" that a server accepts clients of
// its own certificate authority only, and that it does not serve without TLS.
func TestMutualTLS(t *testing.T) {
	dir, other := t.TempDir(), t.TempDir()
	e := &env{io.Discard, io.Discard}
	for _, c := range []struct{ dir, name string }{{dir, "server"}, {dir, "client"}, {other, "foreign"}} {
		if err := newCert(e, c.dir, c.name, []string{"127.0.0.1"}); err != nil {
			t.Fatal(err)
		}
	}
	files := func(dir, name string) settings.TLS {
		return settings.TLS{Cert: filepath.Join(dir, name+".pem"), Key: filepath.Join(dir, name+".key"), CA: filepath.Join(dir, "ca.pem")}
	}
	cfg, err := files(dir, "server").Server()
	if err != nil {
		t.Fatal(err)
	}
	srv := httptest.NewUnstartedServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	srv.TLS = cfg
	srv.Config.ErrorLog = nil
	srv.StartTLS()
	defer srv.Close()
	foreign := files(other, "foreign")
	foreign.CA = files(dir, "server").CA
	for _, c := range []struct {
		name string
		tls  settings.TLS
		ok   bool
	}{{"own host", files(dir, "client"), true}, {"foreign certificate", foreign, false}, {"other authority", files(other, "foreign"), false}} {
		client, scheme, err := c.tls.Client()
		if err != nil {
			t.Fatal(err)
		}
		res, err := client.Get(scheme + srv.Listener.Addr().String())
		if (err == nil) != c.ok {
			t.Errorf("%s: %v", c.name, err)
		}
		if err == nil {
			res.Body.Close()
		}
	}
	plain, err := net.DialTimeout("tcp", srv.Listener.Addr().String(), time.Second)
	if err != nil {
		t.Fatal(err)
	}
	defer plain.Close()
	io.WriteString(plain, "GET / HTTP/1.0\r\n\r\n")
	answer, _ := io.ReadAll(plain)
	if strings.Contains(string(answer), "200 OK") {
		t.Error("served without TLS")
	}
}

// TestStartErrors starts a process whose port, or whose data directory, is in use. It must
// print one line that names the cause, exit with exitFailed and leave the data directory
// readable.
func TestStartErrors(t *testing.T) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer lis.Close()
	inUse := lis.Addr().String()
	locked := filepath.Join(t.TempDir(), "locked")
	open, _, err := disk.Open(locked, disk.RealFiles())
	if err != nil {
		t.Fatal(err)
	}
	defer open.Close()
	for _, c := range []struct{ name, data, line string }{
		{"port in use", filepath.Join(t.TempDir(), "data"), "cannot listen on " + inUse},
		{"data directory locked", locked, "data directory " + locked + " is in use by another process"},
	} {
		file := filepath.Join(t.TempDir(), "control.json")
		text := fmt.Sprintf(`{"listen":%q,"control":[%q],"zone":"z","data":%q,"tls":{"off":true},"logs":{"level":"error"}}`, inUse, inUse, c.data)
		if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		var errs bytes.Buffer
		if code := Main([]string{"control", file}, io.Discard, &errs); code != exitFailed || !strings.Contains(errs.String(), c.line) || strings.Count(errs.String(), "\n") != 1 {
			t.Errorf("%s: exit %d, %s", c.name, code, errs.String())
		}
		if _, err := disk.Read(c.data); err != nil {
			t.Errorf("%s: the data directory is damaged: %v", c.name, err)
		}
	}
}
