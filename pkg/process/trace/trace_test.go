package trace

import (
	"context"
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/plantainbank/plantainbank/pkg/process/settings"
)

// TestSpansContinueTheCallersTrace joins a caller's trace and starts two nested
// spans. The exported file and the headers for the next hop must have its trace ID.
func TestSpansContinueTheCallersTrace(t *testing.T) {
	const id = "0af7651916cd43dd8448eb211c80319c"
	file := filepath.Join(t.TempDir(), "spans.json")
	tr, err := New(settings.Trace{File: file}, "entry", "h")
	if err != nil {
		t.Fatal(err)
	}
	ctx := tr.Join(context.Background(), "00-"+id+"-b7ad6b7169203331-01")
	ctx, end := tr.Start(ctx, "request")
	next, endAttempt := tr.Start(ctx, "attempt")
	if header := tr.Header(next)["traceparent"]; !strings.Contains(header, id) {
		t.Errorf("traceparent for the next hop is %q, want the caller's trace ID", header)
	}
	endAttempt(errors.New("cut"))
	end(nil)
	if err := tr.Close(); err != nil {
		t.Fatal(err)
	}
	data, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{id, `"Name":"request"`, `"Name":"attempt"`, "cut"} {
		if !strings.Contains(string(data), want) {
			t.Errorf("the exported spans do not contain %s", want)
		}
	}
}

func TestTracesAreOffByDefault(t *testing.T) {
	tr, err := New(settings.Trace{}, "entry", "h")
	if err != nil {
		t.Fatal(err)
	}
	ctx, end := tr.Start(context.Background(), "request")
	end(nil)
	if len(tr.Header(ctx)) != 0 || tr.Close() != nil {
		t.Error("a tracer that is off propagates a trace")
	}
}
