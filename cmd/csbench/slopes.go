package main

const slopesUsage = `x`

type slopesCommand struct{ *app }

// Execute runs the subcommand.
func (c *slopesCommand) Execute([]string) error { return nil }
