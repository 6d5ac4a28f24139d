package entry

import (
	"net"
	"time"

	"golang.org/x/sys/unix"

	"clementinetray/server/tcpinfo"
)

// linkState is what the kernel knows of the other end of a connection that delivers nothing.
type linkState int

const (
	// linkUnknown means that the kernel does not tell, or that this is no connection of the kernel.
	linkUnknown linkState = iota
	// linkAnswering means that the other end acknowledged all that was sent to it, keep-alive probes included, or may still do so.
	linkAnswering
	// linkUnanswered means that data had to be sent again and are not acknowledged yet. One packet may have been lost.
	linkUnanswered
	// linkDead means that the other end acknowledges neither repeated data nor probes.
	linkDead
)

const (
	// minRetransmits is the number of retransmissions without an answer that make a link dead. One may be lost, or just have been sent.
	minRetransmits = 2
	// probeAnswerTime is how long the answer to a keep-alive probe may take. It is above a round trip between regions of a continent.
	probeAnswerTime = 150 * time.Millisecond
)

// readLinkState returns the state of a connection.
func readLinkState(conn net.Conn) linkState {
	info, ok := tcpinfo.Read(conn)
	if !ok {
		return linkUnknown
	}
	return classifyLink(info)
}

// classifyLink decides by the retransmissions and the keep-alive probes that are outstanding. The kernel sends the first probe
// keepAliveIdle after the last packet, and counts the probes of a closed window too, whose answers are recent. One probe is enough: the next
// one follows a second later, and a lost one costs a repetition of a request that may be repeated.
func classifyLink(info *unix.TCPInfo) linkState {
	sinceAnswer := time.Duration(info.Last_ack_recv) * time.Millisecond
	switch {
	case info.Unacked > 0 && info.Retransmits >= minRetransmits:
		return linkDead
	case info.Probes > 0 && sinceAnswer >= keepAliveIdle+probeAnswerTime:
		return linkDead
	case info.Unacked > 0 && info.Retransmits > 0:
		return linkUnanswered
	}
	return linkAnswering
}
