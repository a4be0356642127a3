package disk_test

import (
	"fmt"
	"os"

	"github.com/plantainbank/plantainbank/pkg/process/disk"
)

// Entries are loaded when the directory is opened again.
func Example() {
	dir, err := os.MkdirTemp("", "disk-")
	if err != nil {
		fmt.Println(err)
		return
	}
	defer os.RemoveAll(dir)
	d, _, err := disk.Open(dir, disk.RealFiles())
	if err != nil {
		fmt.Println(err)
		return
	}
	err = d.Append(disk.Batch{First: 1, Entries: [][]byte{[]byte("hello")}})
	fmt.Println(err)
	d.Close()
	d, saved, err := disk.Open(dir, disk.RealFiles())
	if err != nil {
		fmt.Println(err)
		return
	}
	defer d.Close()
	fmt.Printf("%s\n", saved.Entries[0])
	// Output:
	// <nil>
	// hello
}
