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

// String returns the name of the class as metrics and logs spell it.
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

// Wire returns the class as the peer protocol spells it.
func (c Class) Wire() peerv1.WorkClass {
	return peerv1.WorkClass(c)
}

// ClassOf returns the class that the peer protocol names. A class unknown to
// this version counts as long.
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

// Priority returns the priority that engines serve the class with; 0 is first.
func (c Class) Priority() int {
	return int(c) - int(ClassShort)
}

// ClassOfPriority is the inverse of Priority. A priority of no class counts as
// the nearest.
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
