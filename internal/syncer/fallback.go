package syncer

import (
	"github.com/rcrowley/go-metrics"
	"k8s.io/klog/v2"
)

// fallbackCause is why a process that relies on its peers reads the store itself.
type fallbackCause string

const (
	noPeers           fallbackCause = "noPeers"
	peersUnresponsive fallbackCause = "peersUnresponsive"
	peersStale        fallbackCause = "peersStale"
	peersLostStore    fallbackCause = "peersLostStore"
)

// noteFallback logs when this process begins or ends to read the store for want of fresh peers,
// and counts each call.
func (s *Syncer) noteFallback(falls bool) {
	cause := s.peerFailure
	if cause == "" {
		cause = noPeers
	}
	if falls && s.Metrics != nil {
		metrics.GetOrRegisterCounter("storeFallbacks."+string(cause), s.Metrics).Inc(1)
	}
	if falls == s.fallingBack {
		return
	}
	s.fallingBack = falls
	_, age, _ := s.Registrar.At()
	if falls {
		klog.InfoS("Falling back to the store", "cause", cause, "age", age)
		return
	}
	klog.InfoS("Peers are fresh again", "age", age)
}
