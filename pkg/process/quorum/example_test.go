package quorum_test

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/plantainbank/plantainbank/pkg/process/quorum"
)

// A group of one replica commits a command. Persist and Send do nothing here; a real
// embedder writes to disk and sends to peers in them.
func Example() {
	node, err := quorum.NewNode(quorum.Config{
		ID:           1,
		Timing:       quorum.DefaultTiming(),
		Persist:      func(quorum.Ready) error { return nil },
		Send:         func([]quorum.Message) {},
		Apply:        func(_ uint64, data []byte) any { return "applied " + string(data) },
		Save:         func() []byte { return nil },
		Restore:      func(io.Reader) error { return nil },
		SaveSnapshot: func(quorum.Snapshot) error { return nil },
	})
	if err != nil {
		fmt.Println(err)
		return
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go node.Run(ctx)
	node.Do(ctx, func() { err = node.Bootstrap(quorum.Members{{ID: 1, Addr: "here"}}) })
	for err != nil || node.Status().Role != quorum.Leader {
		time.Sleep(10 * time.Millisecond)
	}
	result, err := node.Propose(ctx, []byte("x"))
	fmt.Println(result, err)
	// Output: applied x <nil>
}
