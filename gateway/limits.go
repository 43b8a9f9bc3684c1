package gateway

import (
	"math"
	"runtime"
	"runtime/debug"
	"time"

	"golang.org/x/sys/unix"

	"bilberrytiller.example/tiller/coordination/connlimit"
	"bilberrytiller.example/tiller/coordination/memory"
)

const (
	// programBytes is resident memory that the Go runtime does not manage: the program
	// itself, the C library, and the stacks of threads.
	programBytes = 20 << 20
	// restBytes is the memory that the process needs without any client.
	restBytes = 32 << 20
	// budgetFraction is the fraction of the other memory that the budget has. The rest is
	// for garbage that is not collected yet.
	budgetFraction = 0.85
	// MinMemoryBytes is the smallest memory with which a gateway works.
	MinMemoryBytes = 48 << 20
)

// budgetBytes returns the size of the memory budget of a process that may use
// memoryBytes, or 0, which means no limit, if that is unknown.
func budgetBytes(memoryBytes int64) int64 {
	if memoryBytes <= 0 {
		return 0
	}
	return int64(budgetFraction * float64(max(memoryBytes, MinMemoryBytes)-restBytes))
}

// descriptorLimit returns the number of descriptors that the process may open: the lower
// one of a setting and the limit of the system. Zero means that neither is known.
func descriptorLimit(setting int) int {
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil || limit.Cur > math.MaxInt32 {
		return setting
	}
	if setting <= 0 {
		return int(limit.Cur)
	}
	return min(setting, int(limit.Cur))
}

// limitRuntimeMemory makes the garbage collector run in time for the memory of the host.
func limitRuntimeMemory(memoryBytes int64) {
	if memoryBytes > 0 {
		debug.SetMemoryLimit(max(memoryBytes, MinMemoryBytes) - programBytes)
	}
}

// setUpLimits derives the limits of memory and of connections from the settings.
func (g *Gateway) setUpLimits(s *Settings) {
	size := budgetBytes(s.MemoryBytes)
	g.memory = memory.New(size)
	g.heads = memory.NewHeads(g.memory, defaultHeaderBytes)
	g.connLimits = connlimit.New(descriptorLimit(s.MaxDescriptors), size)
	g.upstreamClient.SetMaxConns(g.connLimits.Servers)
	if size > 0 {
		g.memory.SetCollector(runtime.GC)
		g.upstreamClient.SetBodyMemory(g.memory.Answers(time.Now))
	}
}

func (g *Gateway) logLimits() {
	g.log.Info().Str("event", "gateway.limits").Int64("memory_budget", g.memory.Usage().SizeBytes).Int("client_connections", g.connLimits.Clients).
		Int("server_connections", g.connLimits.Servers).Int("internal_connections", g.connLimits.Internal).Send()
}
