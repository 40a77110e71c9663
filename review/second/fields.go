package main

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["fields"] = fields }

const (
	crowdClients  = 300
	crowdRequests = 8    // that each client of the crowd sends ahead
	crowdFields   = 1850 // of a head, which has about 13,200 bytes of 16,384
	crowdRounds   = 3
	silence       = time.Second             // of the runners of the plain service
	sampleTime    = 5 * time.Millisecond    // between two looks at the memory
	holdTime      = 2500 * time.Millisecond // that the crowd keeps its connections
)

// fields lets a crowd send requests of very many short fields, while the runners are silent for a
// second. The stand-in for the platform ends a process that exceeds the memory of its machine.
func fields(rec *Record, trouble string) bool {
	c := NewCluster(1)
	cleanup = c.Close
	_, plain, runs := c.addRunners()
	c.store.Put("config", "main", configuration(1, tenants))
	c.Start()
	h := c.hosts[0]
	rec.Say("resident at the start: %.1f MB of %d MB", h.residentMB(), machineMemoryMB)
	held := true
	for round := 1; round <= crowdRounds && held; round++ {
		stop := make(chan struct{})
		var peak *memoryPeak
		var watching, crowd sync.WaitGroup
		watching.Go(func() { peak = watchMemory(h, stop) })
		for _, r := range plain {
			r.FallSilent(silence)
		}
		rec.Say("round %d: the runners are silent for %s", round, silence)
		if trouble != troubleNone {
			for i := range crowdClients {
				crowd.Go(func() { crowdClient(h, fmt.Sprintf("crowd-%d-%d", round, i)) })
			}
			rec.Say("round %d: %d clients send %d requests of %d fields each", round, crowdClients, crowdRequests, crowdFields)
		}
		time.Sleep(holdTime)
		crowd.Wait()
		close(stop)
		watching.Wait()
		rec.Say("round %d: at most %.1f MB resident and %.1f MB received and not read", round, peak.resident, peak.queued)
		if peak.ended || h.HasExited() {
			rec.Say("the process has exceeded %d MB and was ended", machineMemoryMB)
			held = false
			break
		}
		served := 0
		for i := range 20 {
			if status, _ := call(h.front, http.MethodGet, safePath, fmt.Sprintf("ordinary-%d-%d", round, i), firstKey, 1500*time.Millisecond); status == http.StatusOK {
				served++
			}
		}
		rec.Say("round %d: %d of 20 ordinary requests were served", round, served)
	}
	rec.Say("%d requests ran", len(runs.All()))
	return held
}

// crowdClient sends requests ahead on one connection, with the key of a tenant, and reads no answer.
func crowdClient(h *Host, id string) {
	conn, err := net.DialTimeout("tcp", h.front, time.Second)
	if err != nil {
		return
	}
	defer conn.Close()
	var list []string
	for n := range crowdFields {
		list = append(list, fieldName(n)+": 1")
	}
	var text strings.Builder
	for n := range crowdRequests {
		text.WriteString(head(http.MethodGet, safePath, fmt.Sprintf("%s-%d", id, n), firstKey, 1500, list...))
	}
	_ = conn.SetWriteDeadline(time.Now().Add(holdTime))
	_, _ = conn.Write([]byte(text.String()))
	time.Sleep(holdTime)
}

// fieldName returns a name of two characters.
func fieldName(n int) string {
	const chars = "ABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789!#$%&'*+-.^_|~"
	return string([]byte{chars[n/len(chars)], chars[n%len(chars)]})
}

// memoryPeak is what a process held when it held most, in megabytes.
type memoryPeak struct {
	resident, queued float64
	ended            bool // the process exceeded the memory of its machine and was ended
}

// watchMemory looks at the memory of a process until stop is closed, and ends the process as the
// platform does.
func watchMemory(h *Host, stop <-chan struct{}) *memoryPeak {
	var peak memoryPeak
	for {
		resident, queued := h.residentMB(), h.queuedMB()
		if resident+queued > peak.resident+peak.queued {
			peak.resident, peak.queued = resident, queued
		}
		if resident+queued > machineMemoryMB {
			h.Signal(syscall.SIGKILL)
			peak.ended = true
			return &peak
		}
		select {
		case <-stop:
			return &peak
		case <-time.After(sampleTime):
		}
	}
}
