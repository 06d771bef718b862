// Command anvilbridge runs a query tier for requests that fan out over many shards,
// and the tools to operate it.
package main

import (
	"os"

	"anvilbridge/anvilcommand"
)

func main() {
	os.Exit(anvilcommand.Run(os.Args[1:], os.Stdout, os.Stderr))
}
