package csmeasure

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"runtime"
	"runtime/debug"
	"strconv"
	"strings"
	"time"

	"github.com/gravitational/trace"

	"cowslipstream.example/cowslipstream/csdemo"
	"cowslipstream.example/cowslipstream/csmodel"
)

// Resident is the memory of a process that runs one node, with a number of announced targets.
type Resident struct {
	Targets int `json:"targets"`
	// Bytes is the resident size, Heap the part that the Go heap uses.
	Bytes csmodel.Bytes `json:"bytes"`
	Heap  csmodel.Bytes `json:"heap"`
}

// residentTargets are the numbers of targets that Memory measures.
var residentTargets = []int{0, 100, 800, designVMs}

const (
	// memoryLimit is the limit of control memory for each node, and the default of the settings.
	memoryLimit = 32 * csmodel.MiB
	settleTime  = 2 * time.Second
	leaderLimit = 10 * time.Second
)

// Memory runs one node in this process, announces targets to it and returns the resident sizes. The announcing client is
// part of the process, so that the figures are slightly high.
func Memory(ctx context.Context) ([]Resident, error) {
	debug.SetMemoryLimit(int64(memoryLimit))
	cluster, err := csdemo.NewCluster(csdemo.Layout{
		Region: "measure", Zones: []csmodel.AvailabilityZone{"a"}, NodesPerZone: 1, Voters: 1,
	})
	if err != nil {
		return nil, trace.Wrap(err)
	}
	defer cluster.Close()
	ready, cancel := context.WithTimeout(ctx, leaderLimit)
	defer cancel()
	if err := cluster.WaitLeaders(ready); err != nil {
		return nil, trace.Wrap(err)
	}
	var all []Resident
	announced := 0
	for _, count := range residentTargets {
		for ; announced < count; announced++ {
			if err := announce(ctx, cluster.Addresses("")[0], announced); err != nil {
				return nil, trace.Wrap(err)
			}
		}
		time.Sleep(settleTime)
		r, err := resident(count)
		if err != nil {
			return nil, trace.Wrap(err)
		}
		all = append(all, r)
	}
	return all, nil
}

func announce(ctx context.Context, address string, i int) error {
	body, err := json.Marshal(announcement(i))
	if err != nil {
		return err
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/v1/targets", bytes.NewReader(body))
	if err != nil {
		return err
	}
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	if err == nil && response.StatusCode != http.StatusOK {
		err = fmt.Errorf("announcement refused: %s", response.Status)
	}
	return err
}

// resident reads the resident size of this process.
func resident(targets int) (Resident, error) {
	data, err := os.ReadFile("/proc/self/status")
	if err != nil {
		return Resident{}, err
	}
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	for _, line := range strings.Split(string(data), "\n") {
		fields := strings.Fields(line)
		if len(fields) < 2 || fields[0] != "VmRSS:" {
			continue
		}
		kib, err := strconv.ParseInt(fields[1], 10, 64)
		return Resident{
			Targets: targets, Bytes: csmodel.Bytes(kib) * csmodel.KiB, Heap: csmodel.Bytes(memory.HeapInuse),
		}, err
	}
	return Resident{}, trace.NotFound("no resident size in /proc/self/status")
}
