// Command plantainbank is a rollout service for reinforcement learning.
package main

import (
	"os"

	"github.com/plantainbank/plantainbank/cmd/plantainbank/cmds"
)

func main() { os.Exit(cmds.Main(os.Args[1:], os.Stdout, os.Stderr)) }
