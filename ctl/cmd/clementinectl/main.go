// Command clementinectl is the operators' tool.
package main

import (
	"context"
	"os"

	"clementinetray/ctl/command"
)

func main() {
	os.Exit(command.Run(context.Background(), os.Args[1:], command.Streams{In: os.Stdin, Out: os.Stdout, Err: os.Stderr}))
}
