package csnode

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/gravitational/trace"

	"cowslipstream.example/cowslipstream/csmodel"
)

// Machine names a VM for the platform, and the target that runs on it.
type Machine struct {
	VM          csmodel.VMID
	Address     string // of the target
	Incarnation csmodel.Incarnation
}

// Platform carries out what the system decides about a VM. Calls are repeated until the VM shows the effect, so they must
// be idempotent.
type Platform interface {
	// Reboot restarts the VM. It does nothing where the target already has a newer incarnation.
	Reboot(ctx context.Context, m Machine) error
}

// platformTimeout bounds a call to the platform.
const platformTimeout = 5 * time.Second

// targetPlatform asks the target on the VM.
type targetPlatform struct{ client *http.Client }

func newTargetPlatform() *targetPlatform {
	return &targetPlatform{client: &http.Client{Timeout: platformTimeout}}
}

// Reboot sends POST /reboot to the target.
func (p *targetPlatform) Reboot(ctx context.Context, m Machine) error {
	return trace.Wrap(postTarget(ctx, p.client, m.Address, "/reboot", m.Incarnation, nil))
}

func discard(r *http.Response) {
	_, _ = io.Copy(io.Discard, io.LimitReader(r.Body, 1<<16))
	_ = r.Body.Close()
}
