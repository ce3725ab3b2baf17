package csproof

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"time"

	"cowslipstream.example/cowslipstream/csapi"
)

// reply is a complete response.
type reply struct {
	status int
	header http.Header
	body   []byte
}

const callTimeout = 5 * time.Second

var web = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 128, DisableCompression: true}}

// send sends one call without repetitions.
func send(address, method, path string, headers map[string]string, body []byte) (reply, error) {
	return sendWithin(callTimeout, address, method, path, headers, body)
}

func sendWithin(limit time.Duration, address, method, path string, headers map[string]string, body []byte) (reply, error) {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return reply{}, err
	}
	r.GetBody = nil // so that the transport does not repeat a call whose outcome is open
	for name, value := range headers {
		r.Header.Set(name, value)
	}
	response, err := web.Do(r)
	if err != nil {
		return reply{}, err
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	return reply{response.StatusCode, response.Header, data}, err
}

// outcome classifies one request. A connection that was refused is a clear `not run`.
func outcome(r reply, err error) csapi.Outcome {
	var op *net.OpError
	switch {
	case errors.As(err, &op) && op.Op == "dial":
		return csapi.NotRun
	case err != nil:
		return ""
	}
	return csapi.Outcome(r.header.Get(csapi.OutcomeHeader))
}
