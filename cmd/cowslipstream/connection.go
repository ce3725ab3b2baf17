package main

import (
	"context"
	"os"
	"strings"
	"time"

	"cowslipstream.example/cowslipstream/csclient"
	"cowslipstream.example/cowslipstream/csmodel"
)

// tokenVariable is the environment variable with the operator's bearer token. There is no option for it, because
// command lines are visible to other users of the machine.
const tokenVariable = "COWSLIPSTREAM_TOKEN" // #nosec G101 -- the name of the variable, not a token

// maxToken bounds a token file in bytes.
const maxToken = 4096

// connection is the options of subcommands that call a node.
type connection struct {
	Node    []string      `long:"node" value-name:"ADDR" description:"IP address and port of an entry node; repeat it for fail-over" required:"true"`
	Timeout time.Duration `long:"timeout" value-name:"TIME" description:"longest time of the whole call" default:"30s"`
	JSON    bool          `long:"json" description:"print JSON"`
}

// identity is the options of subcommands for operators.
type identity struct {
	Token string `long:"token-file" value-name:"FILE" description:"file with the bearer token; without it the token is taken from COWSLIPSTREAM_TOKEN"`
}

func (c connection) context(a *app) (context.Context, context.CancelFunc) {
	return context.WithTimeout(a.ctx, c.Timeout)
}

func (c connection) operator(a *app, id identity) (*csclient.Client, error) {
	token, err := id.read(a)
	if err != nil {
		return nil, err
	}
	return csclient.New(csclient.Options{Nodes: c.Node, Token: token}), nil
}

func (c connection) caller(team string) *csclient.Client {
	return csclient.New(csclient.Options{Nodes: c.Node, Team: csmodel.TeamID(team)})
}

func (id identity) read(a *app) (string, error) {
	token := os.Getenv(tokenVariable)
	if id.Token != "" {
		data, err := a.readFile(id.Token, maxToken)
		if err != nil {
			return "", err
		}
		token = string(data)
	}
	token = strings.TrimSpace(token)
	if token == "" {
		return "", wrongUsage("no token: name a file with --token-file or set %s", tokenVariable)
	}
	return token, nil
}
