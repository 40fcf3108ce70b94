package balancer

import peerv1 "github.com/citronscale/citronscale/api/peer/v1"

// Class groups requests by their length.
type Class uint8

// Classes, shortest first.
const (
	ClassShort Class = iota + 1
	ClassMedium
	ClassLong
)

// Classes is the number of classes.
const Classes = 3

// String returns the name of the class in metrics and logs.
func (c Class) String() string {
	switch c {
	case ClassShort:
		return "short"
	case ClassMedium:
		return "medium"
	case ClassLong:
		return "long"
	default:
		return "unknown"
	}
}

// Wire returns the class as encoded in the peer protocol.
func (c Class) Wire() peerv1.WorkClass {
	return peerv1.WorkClass(c)
}

// ClassOf decodes a class of the peer protocol. A class unknown to this version
// is treated as long.
func ClassOf(wire peerv1.WorkClass) Class {
	switch wire {
	case peerv1.WorkClass_WORK_CLASS_SHORT:
		return ClassShort
	case peerv1.WorkClass_WORK_CLASS_MEDIUM:
		return ClassMedium
	default:
		return ClassLong
	}
}

// Priority returns the priority at which engines serve the class; 0 is served
// first.
func (c Class) Priority() int {
	return int(c) - int(ClassShort)
}

// ClassOfPriority is the inverse of Priority. A priority outside the
// range maps to the nearest class.
func ClassOfPriority(priority int) Class {
	return Class(min(max(priority, 0), Classes-1)) + ClassShort
}

// Bounds are the largest prompt lengths of the shorter classes in tokens.
type Bounds struct {
	ShortTokens  uint32
	MediumTokens uint32
}

// Classify returns the class of a prompt of the given length.
func Classify(promptTokens uint32, bounds Bounds) Class {
	switch {
	case promptTokens <= bounds.ShortTokens:
		return ClassShort
	case promptTokens <= bounds.MediumTokens:
		return ClassMedium
	default:
		return ClassLong
	}
}
