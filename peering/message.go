package peering

import (
	"encoding/binary"
	"math"
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"

	loadv1 "github.com/citronscale/citronscale/api/load/v1"
	"github.com/citronscale/citronscale/place"
	"github.com/citronscale/citronscale/throttle"
)

func packHost(host netip.Addr) uint32 {
	if !host.Is4() {
		return 0
	}
	octets := host.As4()
	return binary.BigEndian.Uint32(octets[:])
}

func unpackHost(packed uint32) netip.Addr {
	var octets [4]byte
	binary.BigEndian.PutUint32(octets[:], packed)
	return netip.AddrFrom4(octets)
}

// domainKey returns the hash of the name of a failure domain. It is not 0.
func domainKey(name string) uint32 {
	return uint32(xxhash.Sum64String(name)) | 1
}

func millis(d time.Duration) uint32 {
	return uint32(max(d, 0) / time.Millisecond)
}

func packUses(uses []throttle.Use, now time.Duration) []*loadv1.Use {
	list := make([]*loadv1.Use, 0, len(uses))
	for _, use := range uses {
		u := &loadv1.Use{Upstream: use.Key, Cold: use.Cold}
		if !use.Cold || use.Rate.Limited {
			u.NamedMs = millis(now - use.Rate.NamedAt)
		}
		if use.Rate.Limited {
			u.MilliRate = uint32(min(1000*use.Rate.PerSecond, math.MaxUint32-1)) + 1
		}
		for _, sent := range use.Sent {
			u.SentMs = append(u.SentMs, millis(now-sent))
		}
		for _, part := range use.Parts {
			u.PartMs = append(u.PartMs, millis(now-part))
		}
		list = append(list, u)
	}
	return list
}

func unpackUses(list []*loadv1.Use, now time.Duration) []throttle.Use {
	at := func(age uint32) time.Duration { return now - time.Duration(age)*time.Millisecond }
	uses := make([]throttle.Use, 0, len(list))
	for _, u := range list {
		use := throttle.Use{Key: u.GetUpstream(), Cold: u.GetCold()}
		if !use.Cold || u.GetMilliRate() > 0 {
			use.Rate.NamedAt = at(u.GetNamedMs())
		}
		if milli := u.GetMilliRate(); milli > 0 {
			use.Rate.Limited, use.Rate.PerSecond = true, float64(milli-1)/1000
		}
		for _, age := range u.GetSentMs() {
			use.Sent = append(use.Sent, at(age))
		}
		for _, age := range u.GetPartMs() {
			use.Parts = append(use.Parts, at(age))
		}
		uses = append(uses, use)
	}
	return uses
}

func packStream(stream place.Stream, now time.Duration) *loadv1.Stream {
	s := &loadv1.Stream{
		Id: uint32(stream.ID), PromptTokens: uint32(stream.Prompt), AnswerTokens: uint32(stream.Answer),
		AgeMs: millis(now - stream.PlacedAt), GapGoalMs: millis(stream.GapGoal), GoalMs: millis(stream.Goal),
		Holders: uint32(stream.Holders), ShareTokens: uint32(stream.Share), Team: uint32(stream.Team),
	}
	if stream.Decoding {
		s.WritingMs = millis(now-stream.FirstEventAt) + 1
	}
	for _, key := range stream.Engines {
		s.Engines = append(s.Engines, uint32(key))
	}
	return s
}

func unpackStream(s *loadv1.Stream, now time.Duration) place.Stream {
	stream := place.Stream{
		ID: uint64(s.GetId()), Prompt: int(s.GetPromptTokens()), Answer: int(s.GetAnswerTokens()),
		Holders: int(s.GetHolders()), Share: int(s.GetShareTokens()), Team: uint16(s.GetTeam()),
		PlacedAt: now - time.Duration(s.GetAgeMs())*time.Millisecond,
		Goal:     time.Duration(s.GetGoalMs()) * time.Millisecond,
		GapGoal:  time.Duration(s.GetGapGoalMs()) * time.Millisecond,
	}
	if ms := s.GetWritingMs(); ms > 0 {
		stream.Decoding = true
		stream.FirstEventAt = now - time.Duration(ms-1)*time.Millisecond
	}
	for _, key := range s.GetEngines() {
		stream.Engines = append(stream.Engines, uint64(key))
	}
	return stream
}

func unpackStreams(list []*loadv1.Stream, now time.Duration) []place.Stream {
	streams := make([]place.Stream, 0, len(list))
	for _, s := range list {
		streams = append(streams, unpackStream(s, now))
	}
	return streams
}
