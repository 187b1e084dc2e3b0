// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package proxy

import (
	"encoding/binary"
	"fmt"
	"maps"
	"net"
	"os"
	"sync"
	"syscall"
)

// Owners identifies which of the registered processes opened a connection. It asks the
// kernel for the inode of the peer's socket and looks for it among the processes' open files.
type Owners struct {
	mutex sync.Mutex
	names map[int]string
}

// NewOwners returns an Owners without processes.
func NewOwners() *Owners { return &Owners{names: make(map[int]string)} }

// Set registers a process under a name.
func (o *Owners) Set(pid int, name string) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.names[pid] = name
}

// Forget removes a process that has ended.
func (o *Owners) Forget(pid int) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	delete(o.names, pid)
}

// Of returns the name of the process at the other end of an IPv4 connection. It is empty if
// no registered process has that socket open, for example because it has closed it already.
func (o *Owners) Of(c net.Conn) string {
	inode, err := inodeOf(c.RemoteAddr().(*net.TCPAddr), c.LocalAddr().(*net.TCPAddr))
	if err != nil {
		return ""
	}
	o.mutex.Lock()
	names := maps.Clone(o.names)
	o.mutex.Unlock()
	for pid, name := range names {
		if hasSocketOpen(pid, inode) {
			return name
		}
	}
	return ""
}

// hasSocketOpen reports whether a process has the socket with an inode open.
func hasSocketOpen(pid int, inode uint32) bool {
	dir := fmt.Sprintf("/proc/%d/fd/", pid)
	files, err := os.ReadDir(dir)
	if err != nil {
		return false
	}
	want := fmt.Sprintf("socket:[%d]", inode)
	for _, f := range files {
		// The link of a file that was closed meanwhile can't be read.
		if link, err := os.Readlink(dir + f.Name()); err == nil && link == want {
			return true
		}
	}
	return false
}

// Constants of the kernel's socket diagnostics interface (linux/inet_diag.h).
const (
	netlinkSockDiag  = 4
	sockDiagByFamily = 20
	headerSize       = 16
	requestSize      = headerSize + 56
	answerSize       = headerSize + 72
	offsetInode      = headerSize + 68
	allStates        = 0xffffffff
	noCookie         = 0xffffffff
)

// inodeOf returns the inode of the socket with a local and a remote address. It errors if the
// kernel knows no such socket.
func inodeOf(local, remote *net.TCPAddr) (uint32, error) {
	s, err := syscall.Socket(syscall.AF_NETLINK, syscall.SOCK_DGRAM|syscall.SOCK_CLOEXEC, netlinkSockDiag)
	if err != nil {
		return 0, err
	}
	defer func() { _ = syscall.Close(s) }()
	if err := syscall.Sendto(s, diagRequest(local, remote), 0, &syscall.SockaddrNetlink{Family: syscall.AF_NETLINK}); err != nil {
		return 0, err
	}
	buffer := make([]byte, os.Getpagesize())
	n, _, err := syscall.Recvfrom(s, buffer, 0)
	if err != nil {
		return 0, err
	}
	if n < answerSize || binary.NativeEndian.Uint16(buffer[4:]) != sockDiagByFamily {
		return 0, fmt.Errorf("no socket %s to %s", local, remote)
	}
	return binary.NativeEndian.Uint32(buffer[offsetInode:]), nil
}

// diagRequest encodes the request for one socket: a netlink header, then inet_diag_req_v2.
func diagRequest(local, remote *net.TCPAddr) []byte {
	out := make([]byte, 0, requestSize)
	out = binary.NativeEndian.AppendUint32(out, requestSize)
	out = binary.NativeEndian.AppendUint16(out, sockDiagByFamily)
	out = binary.NativeEndian.AppendUint16(out, syscall.NLM_F_REQUEST)
	out = append(out, make([]byte, 8)...)
	out = append(out, syscall.AF_INET, syscall.IPPROTO_TCP, 0, 0)
	out = binary.NativeEndian.AppendUint32(out, allStates)
	out = binary.BigEndian.AppendUint16(out, uint16(local.Port))
	out = binary.BigEndian.AppendUint16(out, uint16(remote.Port))
	for _, a := range []*net.TCPAddr{local, remote} {
		out = append(out, a.IP.To4()...)
		out = append(out, make([]byte, net.IPv6len-net.IPv4len)...)
	}
	out = binary.NativeEndian.AppendUint32(out, 0)
	out = binary.NativeEndian.AppendUint32(out, noCookie)
	return binary.NativeEndian.AppendUint32(out, noCookie)
}
