// Command csbench measures the capacity policies and the costs of the decision code.
package main

import "os"

func main() {
	os.Exit(run(os.Args[1:], os.Stdout, os.Stderr))
}
