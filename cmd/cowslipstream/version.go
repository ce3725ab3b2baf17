package main

import (
	"fmt"
	"runtime/debug"
)

const versionUsage = `Shows the version of the program and of Go.

  cowslipstream version --json`

type versionCommand struct {
	*app
	JSON bool `long:"json" description:"print JSON"`
}

// versionReport is the JSON output.
type versionReport struct {
	Version string `json:"version"`
	Commit  string `json:"commit,omitempty"`
	Go      string `json:"go"`
}

// Execute runs the subcommand.
func (c *versionCommand) Execute([]string) error {
	report := readVersion()
	if c.JSON {
		return c.printJSON(report)
	}
	fmt.Fprintf(c.stdout, "cowslipstream %s %s\n", report.Version, report.Go)
	return nil
}

func readVersion() versionReport {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return versionReport{Version: "unknown"}
	}
	report := versionReport{Version: info.Main.Version, Go: info.GoVersion}
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" {
			report.Commit = s.Value
		}
	}
	return report
}
