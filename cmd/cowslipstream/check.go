package main

import (
	"fmt"
	"regexp"

	"cowslipstream.example/cowslipstream/csapi"
	"cowslipstream.example/cowslipstream/csconfig"
	"cowslipstream.example/cowslipstream/cssettings"
	"cowslipstream.example/cowslipstream/csyaml"
)

const checkUsage = `Checks a settings or configuration file and reports every fault with line,
column and fix. The kind of file is recognised by its fields. With --settings,
the regions and availability zones of a configuration are checked against the
installation. Exits 0 for a valid file and 2 for faults.

  cowslipstream check fleet.yaml
  cowslipstream check --settings node.yaml fleet.yaml`

type checkCommand struct {
	*app
	Settings string `long:"settings" value-name:"FILE" description:"settings of a node of the installation"`
	JSON     bool   `long:"json" description:"print JSON"`
	Args     struct {
		File string `positional-arg-name:"FILE" required:"true"`
	} `positional-args:"true"`
}

// checkReport is the JSON output.
type checkReport struct {
	File   string        `json:"file"`
	Kind   fileKind      `json:"kind"`
	Valid  bool          `json:"valid"`
	Faults []csapi.Fault `json:"faults"`
}

// fileKind tells settings from configurations.
type fileKind string

const (
	settingsFile      fileKind = "settings"
	configurationFile fileKind = "configuration"
)

// Execute runs the subcommand.
func (c *checkCommand) Execute([]string) error {
	data, err := c.readFile(c.Args.File, csyaml.MaxSize)
	if err != nil {
		return err
	}
	kind := recognize(data)
	err = c.check(kind, data)
	if err != nil && csyaml.List(err) == nil {
		return err
	}
	if c.JSON {
		return c.printReport(kind, err)
	}
	if err != nil {
		return err
	}
	fmt.Fprintf(c.stdout, "%s: valid %s\n", c.Args.File, kind)
	return nil
}

func (c *checkCommand) check(kind fileKind, data []byte) error {
	if kind == settingsFile {
		_, err := cssettings.Parse(c.Args.File, data)
		return err
	}
	if c.Settings == "" {
		_, err := csconfig.Parse(c.Args.File, data)
		return err
	}
	text, err := c.readFile(c.Settings, csyaml.MaxSize)
	if err != nil {
		return err
	}
	s, err := cssettings.Parse(c.Settings, text)
	if err != nil {
		return err
	}
	_, err = csconfig.ParseFor(c.Args.File, data, s.Zones())
	return err
}

func (c *checkCommand) printReport(kind fileKind, err error) error {
	report := checkReport{File: c.Args.File, Kind: kind, Valid: err == nil, Faults: csapi.Faults(err)}
	if err := c.printJSON(report); err != nil {
		return err
	}
	if err != nil {
		return &reported{status: exitUsage}
	}
	return nil
}

var (
	configurationField = regexp.MustCompile(`(?m)^["']?(pools|jobs|teams|waves)["']?\s*:`)
	settingsField      = regexp.MustCompile(`(?m)^[^#\n]*?\b(node|nodes|listen|link|folder|secret|token|tokens|log)["']?\s*:`)
)

// recognize errs on the side of settings, because faults in settings are reported without secrets.
func recognize(data []byte) fileKind {
	if !configurationField.Match(data) && settingsField.Match(data) {
		return settingsFile
	}
	return configurationFile
}
