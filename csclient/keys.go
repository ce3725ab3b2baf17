package csclient

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"cowslipstream.example/cowslipstream/csapi"
)

// keyBatch holds issued keys. lock allows one fetch at a time, so that concurrent requests share a batch.
type keyBatch struct {
	keys    csapi.Keys
	fetched time.Time
	lock    chan struct{}
}

// Prefetch fetches a batch of idempotency keys, so that the first request does not wait for it.
func (c *Client) Prefetch(ctx context.Context) error {
	ctx, cancel := withTimeout(ctx)
	defer cancel()
	if err := c.lockKeys(ctx); err != nil {
		return err
	}
	defer c.unlockKeys()
	return c.fetchKeys(ctx)
}

// takeKey returns a fresh key. A key is handed out once.
func (c *Client) takeKey(ctx context.Context) (csapi.Key, error) {
	if key, ok := c.popKey(); ok {
		return key, nil
	}
	if err := c.lockKeys(ctx); err != nil {
		return "", err
	}
	defer c.unlockKeys()
	for {
		if key, ok := c.popKey(); ok {
			return key, nil
		}
		if err := c.fetchKeys(ctx); err != nil {
			return "", err
		}
	}
}

func (c *Client) popKey() (csapi.Key, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.options.Clock.Since(c.keys.fetched) > keyLifetime {
		c.keys.keys = nil
	}
	if len(c.keys.keys) == 0 {
		return "", false
	}
	key := c.keys.keys[0]
	c.keys.keys = c.keys.keys[1:]
	return key, true
}

// dropKeys discards the batch. After an unknown outcome its issuer may be gone, and the keys of a lost issuer lead to
// no other outcome.
func (c *Client) dropKeys() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.keys.keys = nil
}

func (c *Client) lockKeys(ctx context.Context) error {
	select {
	case c.keys.lock <- struct{}{}:
		return nil
	case <-ctx.Done():
		return fmt.Errorf("wait for idempotency keys: %w", context.Cause(ctx))
	}
}

func (c *Client) unlockKeys() { <-c.keys.lock }

func (c *Client) fetchKeys(ctx context.Context) error {
	m := message{
		method: http.MethodPost,
		path:   csapi.KeysPath + "?" + csapi.CountParameter + "=" + strconv.Itoa(c.options.Batch),
	}
	r, err := c.send(ctx, m)
	if err != nil {
		return err
	}
	var keys csapi.Keys
	if err := json.Unmarshal(r.body, &keys); err != nil || len(keys) == 0 {
		return fmt.Errorf("%w: list of idempotency keys", errBody)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.keys.keys = keys
	c.keys.fetched = c.options.Clock.Now()
	return nil
}
