package csproof

import (
	"bytes"
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

var web = &http.Client{
	Timeout:   5 * time.Second,
	Transport: &http.Transport{MaxIdleConnsPerHost: 128, DisableCompression: true},
}

// send sends one call without repetitions.
func send(address, method, path string, headers map[string]string, body []byte) (reply, error) {
	r, err := http.NewRequest(method, "http://"+address+path, bytes.NewReader(body))
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
