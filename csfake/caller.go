package csfake

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"

	"cowslipstream.example/cowslipstream/csdispatch"
)

const (
	keyBatch     = 64          // keys requested at once
	callMargin   = time.Second // beyond the timeout of a call, for its response
	maxTries     = 3           // nodes that a call is sent to while connections fail
	maxAnswer    = 1 << 20
	headerTeam   = "Cowslip-Team"
	headerWait   = "Cowslip-Timeout"
	headerKey    = "Idempotency-Key"
	headerResult = "Cowslip-Outcome"
)

type result uint8

const (
	resultAnswer result = iota + 1
	resultNotRun
	resultUnknown
	resultWrong
	resultFailed
)

// caller sends single calls to the entry nodes in turn.
type caller struct {
	config CallersConfig
	client *http.Client
	next   atomic.Uint64
	mu     sync.Mutex
	keys   []string
}

func newCaller(c CallersConfig) *caller {
	return &caller{config: c, client: &http.Client{
		Transport: &http.Transport{MaxIdleConnsPerHost: c.Limit, DisableCompression: true},
		Timeout:   c.Timeout + callMargin,
	}}
}

func (c *caller) close() { c.client.CloseIdleConnections() }

func (c *caller) node() string {
	return c.config.Nodes[c.next.Add(1)%uint64(len(c.config.Nodes))]
}

// call sends a call until an entry node has responded. A repeated call uses the same key.
func (c *caller) call(ctx context.Context, id string) result {
	key := ""
	if c.config.Keyed {
		var err error
		if key, err = c.key(ctx); err != nil {
			return resultFailed
		}
	}
	repeatable := c.config.Keyed || c.config.Idempotent
	for try := 1; ; try++ {
		res, err := c.post(ctx, id, key)
		if err == nil {
			return res
		}
		if !repeatable || try == maxTries || ctx.Err() != nil {
			return resultFailed
		}
	}
}

func (c *caller) post(ctx context.Context, id, key string) (result, error) {
	body := append([]byte(id), '\n')
	if missing := c.config.Size - len(body); missing > 0 {
		body = append(body, bytes.Repeat([]byte{'x'}, missing)...)
	}
	address := fmt.Sprintf("http://%s/v1/jobs/%s/requests", c.node(), c.config.Job)
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, address, bytes.NewReader(body))
	if err != nil {
		return resultFailed, trace.Wrap(err)
	}
	r.Header.Set(headerTeam, string(c.config.Team))
	r.Header.Set(headerWait, c.config.Timeout.String())
	if key != "" {
		r.Header.Set(headerKey, key)
	}
	resp, err := c.client.Do(r)
	if err != nil {
		return resultFailed, trace.Wrap(err)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswer+1))
	if err != nil {
		return resultFailed, trace.Wrap(err)
	}
	return classify(id, resp, data)
}

// classify checks that an answer is complete and belongs to the call.
func classify(id string, resp *http.Response, body []byte) (result, error) {
	switch resp.Header.Get(headerResult) {
	case "answer":
		digest := resp.Header.Get(csdispatch.HeaderDigest)
		if BodyID(body) != id || digest != csdispatch.Digest(body) {
			return resultWrong, nil
		}
		return resultAnswer, nil
	case "not-run":
		return resultNotRun, nil
	case "unknown":
		return resultUnknown, nil
	default:
		return resultFailed, trace.Errorf("status %d without an outcome", resp.StatusCode)
	}
}

// key returns an issued key that was not used before.
func (c *caller) key(ctx context.Context) (string, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for try := 1; len(c.keys) == 0; try++ {
		keys, err := c.fetchKeys(ctx)
		if err == nil {
			c.keys = keys
		} else if try == maxTries {
			return "", trace.Wrap(err)
		}
	}
	key := c.keys[len(c.keys)-1]
	c.keys = c.keys[:len(c.keys)-1]
	return key, nil
}

func (c *caller) fetchKeys(ctx context.Context) ([]string, error) {
	address := fmt.Sprintf("http://%s/v1/keys?count=%d", c.node(), keyBatch)
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, address, nil)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	resp, err := c.client.Do(r)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	defer resp.Body.Close()
	var keys []string
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxAnswer)).Decode(&keys); err != nil {
		return nil, trace.Wrap(err)
	}
	if resp.StatusCode != http.StatusOK || len(keys) == 0 {
		return nil, trace.Errorf("no keys: status %d", resp.StatusCode)
	}
	return keys, nil
}
