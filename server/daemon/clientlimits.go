package daemon

import (
	"log/slog"

	"github.com/prometheus/client_golang/prometheus"
	"golang.org/x/sys/unix"

	"clementinetray/server/callerconn"
	"clementinetray/server/clock"
	"clementinetray/server/connlimit"
	"clementinetray/server/jsonbound"
	"clementinetray/server/settings"
)

const (
	// reservedDescriptors is the number of descriptors that are kept for files, listeners and what the machine needs.
	reservedDescriptors = 200
	// backendShare is the divisor of the descriptors left for connections to backend servers and to other instances.
	backendShare = 2
	// memoryPerConnection is what a connection takes with its goroutine, its buffers and the first 4 KiB of its header: 42 KB
	// were measured for one with a header of 2,000 bytes, 7 KB for an idle one.
	memoryPerConnection = 64 << 10
	// maxDefaultConnections bounds the default where no memory limit is set.
	maxDefaultConnections = 16_384
	// headerMemoryDivisor and operatorBodyDivisor are the parts of the memory limit for headers and for the bodies of operators.
	headerMemoryDivisor = 16
	operatorBodyDivisor = 6
	// defaultClientMemory is that part where no memory limit is set.
	defaultClientMemory = 64 << 20
	// minOperatorBodyMemory has room for one configuration of 4 MiB.
	minOperatorBodyMemory = 17 << 20
)

// newGuard returns the guard of the process's listeners. Its defaults follow from the limits of memory and descriptors.
func newGuard(s *settings.Settings, stalls *clock.Stalls, registerer prometheus.Registerer, logger *slog.Logger) *callerconn.Guard {
	connections := s.MaxConnections
	if connections == 0 {
		connections = defaultConnections(descriptorLimit(s), s.MemoryLimitMB)
	}
	headerMemory, bodyMemory := int64(s.HeaderMemoryBytes), int64(s.OperatorBodyBytes)
	if headerMemory == 0 {
		headerMemory = memoryPart(s.MemoryLimitMB, headerMemoryDivisor)
	}
	if bodyMemory == 0 {
		bodyMemory = max(minOperatorBodyMemory, memoryPart(s.MemoryLimitMB, operatorBodyDivisor))
	}
	return callerconn.NewGuard(callerconn.Config{
		Connections: connlimit.DeriveLimits(connections), MaxHeaderBytes: s.MaxHeaderBytes, MaxHeaderFields: s.MaxHeaderFields,
		HeaderMemory: headerMemory, BodyMemory: bodyMemory, BodyProgress: s.BodyProgress, MinBodyRate: s.MinBodyRate,
		WriteProgress: s.WriteProgress, SocketBuffer: s.SocketBufferBytes, Stalls: stalls, Registerer: registerer, Log: logger,
	})
}

func jsonLimits(s *settings.Settings) jsonbound.Limits {
	return jsonbound.Limits{Values: s.MaxJSONValues, Depth: s.MaxJSONDepth}
}

// descriptorLimit returns the number of descriptors that the process may open, 0 if it is not known.
func descriptorLimit(s *settings.Settings) int {
	if s.DescriptorLimit > 0 {
		return s.DescriptorLimit
	}
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil {
		return 0
	}
	return int(min(limit.Cur, 10<<20))
}

// defaultConnections returns the number of connections of clients for a number of descriptors and megabytes, each 0 if there
// is no limit.
func defaultConnections(descriptors, memoryMB int) int {
	connections := maxDefaultConnections
	if descriptors > 0 {
		connections = min(connections, (descriptors-reservedDescriptors)/backendShare)
	}
	if memoryMB > 0 {
		connections = min(connections, memoryMB<<20/memoryPerConnection)
	}
	return max(connections, 16)
}

const (
	// relayDescriptorShare is the divisor of the descriptors for connections that are forwarded, of which each takes two: a quarter of
	// them, out of the half that is not for clients.
	relayDescriptorShare = 8
	// relayMemoryDivisor is the part of the memory limit for forwarded connections: a sixteenth.
	relayMemoryDivisor = 16
	// memoryPerRelayed is what a forwarded connection takes at most with its two goroutines, its buffers and the kernel's bookkeeping.
	memoryPerRelayed = 32 << 10
	// maxRelayed bounds the forwarded connections where no limit is known.
	maxRelayed = 2048
)

// relayedConnections returns how many connections an instance forwards for others, for a number of descriptors and megabytes, each 0 if
// there is no limit.
func relayedConnections(descriptors, memoryMB int) int {
	connections := maxRelayed
	if descriptors > 0 {
		connections = min(connections, (descriptors-reservedDescriptors)/relayDescriptorShare)
	}
	if memoryMB > 0 {
		connections = min(connections, memoryMB<<20/relayMemoryDivisor/memoryPerRelayed)
	}
	return max(connections, 8)
}

func memoryPart(memoryMB, divisor int) int64 {
	if memoryMB == 0 {
		return defaultClientMemory
	}
	return int64(memoryMB) << 20 / int64(divisor)
}
