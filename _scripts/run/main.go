// Command run starts a complete deployment on loopback addresses and, as a demo, runs a
// training step for each of two workspaces, a streamed completion and a plain call.
// DEPLOYMENT selects the fixture. If HOLD is set, the deployment then keeps running until
// it is interrupted.
package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/plantainbank/plantainbank/internal/deployment"
)

// demo names the records of a fixture that the demo uses.
type demo struct {
	rollouts, workspaces [2]string
	model, plainPath     string
}

var demos = map[string]demo{
	"rahbar":   {[2]string{"slip-reader", "proof-drafts"}, [2]string{"training", "proofs"}, "slips", "/reorder/menu"},
	"swanfold": {[2]string{"cleaning-route", "audit-route"}, [2]string{"training", "audit"}, "policy", "/booking/pod"},
}

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "run:", err)
		os.Exit(1)
	}
}

func run() error {
	name := os.Getenv("DEPLOYMENT")
	if name == "" {
		name = "rahbar"
	}
	x, ok := demos[name]
	if !ok {
		return fmt.Errorf("DEPLOYMENT is %q; allowed: rahbar, swanfold", name)
	}
	dir, err := os.MkdirTemp("", "plantainbank-run-")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	bin, err := filepath.Abs(".bin")
	if err != nil {
		return err
	}
	d, err := deployment.New(dir, filepath.Join(bin, "plantainbank"), filepath.Join(bin, "standin"), filepath.Join("_fixtures", name), "127.0.0")
	if err != nil {
		return err
	}
	defer d.StopAll()
	if err := d.StartAll(); err != nil {
		return err
	}
	if err := runDemo(d, name, x); err != nil {
		logs, _ := filepath.Glob(filepath.Join(dir, "*.log"))
		for _, f := range logs {
			if data, _ := os.ReadFile(f); len(data) > 0 {
				fmt.Fprintf(os.Stderr, "--- %s\n%s\n", filepath.Base(f), data[max(0, len(data)-2000):])
			}
		}
		return err
	}
	if os.Getenv("HOLD") != "" {
		waitForInterrupt(d, x)
	}
	return nil
}

// runDemo waits until the deployment is ready, submits the records and runs the demo.
func runDemo(d *deployment.Deployment, name string, x demo) error {
	if err := d.AwaitReady(); err != nil {
		return err
	}
	if err := setUp(d, name, x); err != nil {
		return err
	}
	for i := range x.rollouts {
		fmt.Printf("\n== training step of %s (workspace %s)\n", x.rollouts[i], x.workspaces[i])
		p, err := d.Start(fmt.Sprintf("trainer-%d", i), d.Standin, "trainer", "--entries", strings.Join(d.CallerAddrs(), ","),
			"--key", filepath.Join(d.Dir, x.workspaces[i]+".key"), "--rollout", x.rollouts[i], "--groups", "8", "--samples", "8")
		if err != nil {
			return err
		}
		err = p.Wait(55 * time.Second)
		out, _ := os.ReadFile(filepath.Join(d.Dir, p.Name+".log"))
		fmt.Print(string(out))
		if err != nil {
			return err
		}
	}
	return sendCalls(d, x)
}

// setUp submits the records, creates the keys, and waits until the revision is in force and
// every backend server is announced.
func setUp(d *deployment.Deployment, name string, x demo) error {
	records, err := filepath.Abs(filepath.Join("_fixtures", name, "records.json"))
	if err != nil {
		return err
	}
	out, err := d.CLI("record", "put", records)
	fmt.Print("== records\n", out)
	if err != nil {
		return err
	}
	for _, w := range x.workspaces {
		if _, err := d.CLI("key", "new", w, w); err != nil {
			return err
		}
	}
	revision := strings.TrimSpace(out[strings.LastIndex(strings.TrimSpace(out), " ")+1:])
	if out, err = d.CLI("record", "wait", revision); err != nil {
		return err
	}
	fmt.Print(out)
	return deployment.Await("backend servers of every pool", func() bool {
		out, err := d.CLI("status")
		return err == nil && strings.Count(out, "\nbackend") == d.ServerCount()
	})
}

func sendCalls(d *deployment.Deployment, x demo) error {
	key, err := os.ReadFile(filepath.Join(d.Dir, x.workspaces[0]+".key"))
	if err != nil {
		return err
	}
	fmt.Println("\n== streamed completion")
	body := fmt.Sprintf(`{"model":%q,"prompt":"read the slip","max_tokens":4,"stream":true}`, x.model)
	if err := post(d.CallerAddr(1), "/v1/completions", string(key), body); err != nil {
		return err
	}
	fmt.Println("== plain call")
	if err := post(d.CallerAddr(2), x.plainPath, string(key), `{"count":3}`); err != nil {
		return err
	}
	fmt.Println("== usage report")
	var report string
	err = deployment.Await("a usage report with figures", func() bool {
		res, err := http.Get("http://" + d.PlatformAddr() + "/log")
		if err != nil {
			return false
		}
		defer res.Body.Close()
		data, _ := io.ReadAll(res.Body)
		report = string(data)
		return strings.Contains(report, x.workspaces[0])
	})
	fmt.Println(report)
	if err != nil {
		return err
	}
	out, err := d.CLI("status")
	fmt.Print("== status\n", out)
	return err
}

func post(addr, path, key, body string) error {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+path, strings.NewReader(body))
	if err != nil {
		return err
	}
	req.Header.Set("Authorization", "Bearer "+key)
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer res.Body.Close()
	if _, err := io.Copy(os.Stdout, res.Body); err != nil {
		return err
	}
	if res.StatusCode != http.StatusOK {
		return fmt.Errorf("%s responded with status %d", path, res.StatusCode)
	}
	return nil
}

// waitForInterrupt prints example calls and keeps the deployment running until SIGINT or
// SIGTERM.
func waitForInterrupt(d *deployment.Deployment, x demo) {
	key := filepath.Join(d.Dir, x.workspaces[0]+".key")
	fmt.Printf(`
The deployment keeps running. Try:

  curl -N http://%s/v1/completions -H "Authorization: Bearer $(cat %s)" -d '{"model":%q,"prompt":"hello","stream":true}'
  curl http://%s%s -H "Authorization: Bearer $(cat %s)" -d '{"count":1}'
  PLANTAINBANK_OPERATOR=http://%s PLANTAINBANK_TOKEN=%s %s status

Press Ctrl-C to stop it.
`, d.CallerAddr(0), key, x.model, d.CallerAddr(1), x.plainPath, key, d.OperatorAddr(0), filepath.Join(d.Dir, "operator.token"), d.Bin)
	c := make(chan os.Signal, 1)
	signal.Notify(c, syscall.SIGINT, syscall.SIGTERM)
	<-c
}
