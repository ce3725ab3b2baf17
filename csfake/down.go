package csfake

// Down tells whether the target is rebooting or killed.
func (t *Target) Down() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.down || t.closed
}
