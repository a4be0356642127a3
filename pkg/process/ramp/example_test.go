package ramp_test

import (
	"fmt"

	"github.com/plantainbank/plantainbank/pkg/process/ramp"
)

// A fresh server starts at one request, and its limit doubles as it serves requests.
func Example() {
	r := ramp.New(1, 8)
	for served := uint64(1); served <= 9; served++ {
		r.Observe(ramp.Counts{Served: served})
	}
	fmt.Println(r.Limit)
	r.Announce(2, 8) // the server was restarted
	fmt.Println(r.Limit)
	// Output:
	// 4
	// 1
}
