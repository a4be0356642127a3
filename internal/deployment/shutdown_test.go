package deployment

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// TestGracefulShutdownCutsNothing sends SIGTERM to an entry host that serves a slow stream
// and requests on pooled connections, and then to the control leader. No response may be
// cut off, a request refused as not run must not have run, no request may run twice, and
// a change submitted during the leader's shutdown must succeed.
func TestGracefulShutdownCutsNothing(t *testing.T) {
	t.Parallel()
	d := startDeployment(t, nil)
	k := readKey(t, d, "training")
	slow := openSlowStream(t, d, k)
	var mu sync.Mutex
	wrong := map[string]int{}
	served, refused := 0, []string{}
	var wg sync.WaitGroup
	stop := make(chan struct{})
	for i := range 6 {
		wg.Go(func() {
			c := &http.Client{Timeout: 20 * time.Second, Transport: &http.Transport{}}
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				default:
				}
				body := fmt.Sprintf("grace-%d-%d", i, n)
				code, text, sent := sendPooled(c, d, k, body)
				mu.Lock()
				switch {
				case code == http.StatusOK:
					served++
				case code != 0 && strings.Contains(text, `"ran":"no"`):
					refused = append(refused, body)
				case code == 0 && !sent:
				default:
					wrong[fmt.Sprintf("%d %s", code, text)]++
				}
				mu.Unlock()
				if code == 0 {
					return // the listener is closed
				}
			}
		})
	}
	await(t, "50 requests are served", func() bool { mu.Lock(); defer mu.Unlock(); return served > 50 })
	must(t, d.Process("entry-0").Signal(syscall.SIGTERM))
	must(t, d.Process("entry-0").Wait(20*time.Second))
	close(stop)
	wg.Wait()
	if last := <-slow; !strings.Contains(last, "[DONE]") {
		t.Errorf("the slow stream ended with %q, want [DONE]", last)
	}
	if len(wrong) > 0 {
		t.Errorf("truncated responses or unexpected statuses: %v", wrong)
	}
	all := runCounts(t, d)
	for _, body := range refused {
		if all[body] > 0 {
			t.Errorf("%s was refused as not run but ran", body)
		}
	}
	checkRanAtMostOnce(t, all)

	old := leaderIndex(t, d)
	must(t, d.Process("control-"+strconv.Itoa(old)).Signal(syscall.SIGTERM))
	must(t, d.Process("control-"+strconv.Itoa(old)).Wait(10*time.Second))
	for _, w := range []string{"proofs", "multan-tea"} {
		if code, text := submitChange(d, 1, map[string]any{"request": "w-" + w, "kind": "workspace", "name": w, "withdraw": true, "replaces": workspaceRevision(t, d, w)}); code != http.StatusOK {
			t.Errorf("a change submitted during the leader's shutdown failed: %d %s", code, text)
		}
	}
}

// checkRanAtMostOnce fails the test if a non-idempotent request ran more than once.
func checkRanAtMostOnce(t *testing.T, all map[string]int) {
	t.Helper()
	for body, n := range all {
		if n > 1 {
			t.Errorf("%q ran %d times", body, n)
		}
	}
}

// workspaceRevision returns the revision of a workspace record, which a change of the
// record must name.
func workspaceRevision(t *testing.T, d *Deployment, name string) int {
	t.Helper()
	req, _ := http.NewRequest(http.MethodGet, "http://"+d.OperatorAddr(1)+"/operator/records?kind=workspace&name="+name, nil)
	req.Header.Set("Authorization", "Bearer "+OperatorToken)
	res, err := http.DefaultClient.Do(req)
	must(t, err)
	defer res.Body.Close()
	data, _ := io.ReadAll(res.Body)
	_, rest, _ := bytes.Cut(data, []byte(`"revision":`))
	_, rest, _ = bytes.Cut(rest, []byte(`"revision":`)) // the first one is the configuration revision
	n, err := strconv.Atoi(string(rest[:bytes.IndexAny(rest, ",}")]))
	must(t, err)
	return n
}

// sendPooled sends a request on a keep-alive connection to entry host 0. The code is 0 if
// no complete response came; sent is false if the connection was refused.
func sendPooled(c *http.Client, d *Deployment, key, body string) (code int, text string, sent bool) {
	req, _ := http.NewRequest(http.MethodPost, "http://"+d.CallerAddr(0)+"/reorder/x", strings.NewReader(body))
	req.GetBody = nil // prevents automatic retries by net/http
	req.Header.Set("Authorization", "Bearer "+key)
	res, err := c.Do(req)
	if err != nil {
		return 0, err.Error(), !strings.Contains(err.Error(), "refused")
	}
	defer res.Body.Close()
	data, err := io.ReadAll(res.Body)
	if err != nil {
		return 0, err.Error(), true
	}
	return res.StatusCode, string(data), true
}

// openSlowStream opens a completion stream of a few seconds and reads it slowly, as a slow
// caller does. The channel delivers the last line.
func openSlowStream(t *testing.T, d *Deployment, key string) <-chan string {
	t.Helper()
	req, err := http.NewRequest(http.MethodPost, "http://"+d.CallerAddr(0)+"/v1/completions",
		strings.NewReader(`{"model":"slips","prompt":"slow","max_tokens":600,"stream":true}`))
	must(t, err)
	req.Header.Set("Authorization", "Bearer "+key)
	res, err := http.DefaultClient.Do(req)
	must(t, err)
	out := make(chan string, 1)
	go func() {
		defer res.Body.Close()
		var all strings.Builder
		buf := make([]byte, 2048)
		for {
			n, err := res.Body.Read(buf)
			all.Write(buf[:n])
			if err != nil {
				break
			}
			time.Sleep(10 * time.Millisecond)
		}
		lines := strings.Fields(all.String())
		out <- lines[len(lines)-1]
	}()
	return out
}
