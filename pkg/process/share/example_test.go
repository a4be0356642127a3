package share_test

import (
	"fmt"

	"github.com/plantainbank/plantainbank/pkg/process/share"
)

// Two holders share a resource with a limit of four. The second one gets only the
// capacity that the first has reported as released.
func Example() {
	a := share.NewAllocator()
	a.SetLimit("engine", 4)
	a.Report("first", nil)
	fmt.Println("first gets", a.Grant("first", "engine", 4))
	a.Report("second", nil)
	fmt.Println("second gets", a.Grant("second", "engine", 2))
	a.Report("first", map[string]share.Holding{"engine": {Share: 2, Running: 3}})
	fmt.Println("second gets", a.Grant("second", "engine", 2))
	// Output:
	// first gets 4
	// second gets 0
	// second gets 1
}
