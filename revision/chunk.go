package revision

import (
	"bytes"
	"crypto/sha256"
	"fmt"

	"github.com/cespare/xxhash/v2"

	peerv1 "github.com/citronscale/citronscale/api/peer/v1"
	"github.com/citronscale/citronscale/config"
	"github.com/citronscale/citronscale/source"
)

const (
	linesPerChunk = 32       // mean number of lines in a chunk
	maxChunkBytes = 16 << 10 // a chunk that reaches this size ends with its current line
	maxChunks     = 1 << 16  // in one response
)

// chunk is one part of a document.
type chunk struct {
	digest uint64
	data   []byte
}

// split divides a document after each line whose digest is a multiple of
// linesPerChunk. An edit changes the chunks that it touches and no others.
func split(document []byte) []chunk {
	var chunks []chunk
	start := 0
	for position := 0; position < len(document); {
		end := len(document)
		if next := bytes.IndexByte(document[position:], '\n'); next >= 0 {
			end = position + next + 1
		}
		line := document[position:end]
		position = end
		if xxhash.Sum64(line)%linesPerChunk == 0 || position-start >= maxChunkBytes || position == len(document) {
			chunks = append(chunks, newChunk(document[start:position]))
			start = position
		}
	}
	return chunks
}

func newChunk(data []byte) chunk {
	return chunk{digest: xxhash.Sum64(data), data: data}
}

// Request returns the request to a peer that is ahead. It lists the chunks that
// this host has.
func (s *State) Request() *peerv1.FetchConfigRequest {
	request := &peerv1.FetchConfigRequest{HaveRevision: s.current().revision}
	for _, c := range s.chunks {
		request.HaveChunks = append(request.HaveChunks, c.digest)
	}
	return request
}

// Answer returns the response to a peer that is behind. For each chunk of the
// document in force it contains the digest, and the data if the peer lacks the
// chunk. It returns false if no document is in force.
func (s *State) Answer(request *peerv1.FetchConfigRequest) (*peerv1.FetchConfigResponse, bool) {
	if s.inForce == nil {
		return nil, false
	}
	peerChunks := make(map[uint64]bool, len(request.GetHaveChunks()))
	for _, digest := range request.GetHaveChunks() {
		peerChunks[digest] = true
	}
	sum := sha256.Sum256(s.document.Data)
	response := &peerv1.FetchConfigResponse{Revision: s.inForce.Revision, Digest: s.inForce.Digest, DocumentSha256: sum[:]}
	for _, c := range s.chunks {
		part := &peerv1.ConfigChunk{Digest: c.digest}
		if !peerChunks[c.digest] {
			part.Data = c.data
		}
		response.Chunks = append(response.Chunks, part)
	}
	return response, true
}

// Assemble builds the document of a response from its chunks and those of this
// host. The caller passes the document to Offer.
func (s *State) Assemble(response *peerv1.FetchConfigResponse) (source.Document, error) {
	if len(response.GetChunks()) > maxChunks {
		return source.Document{}, fmt.Errorf("revision %d has %d chunks, limit is %d", response.GetRevision(), len(response.GetChunks()), maxChunks)
	}
	ownChunks := make(map[uint64][]byte, len(s.chunks))
	for _, c := range s.chunks {
		ownChunks[c.digest] = c.data
	}
	var document []byte
	for _, part := range response.GetChunks() {
		data := part.GetData()
		if len(data) == 0 {
			data = ownChunks[part.GetDigest()]
		}
		if len(document)+len(data) > config.MaxDocumentBytes {
			return source.Document{}, fmt.Errorf("revision %d exceeds %d bytes", response.GetRevision(), config.MaxDocumentBytes)
		}
		document = append(document, data...)
	}
	if sum := sha256.Sum256(document); !bytes.Equal(sum[:], response.GetDocumentSha256()) {
		return source.Document{}, fmt.Errorf("chunks of revision %d don't match the digest of its document", response.GetRevision())
	}
	return source.Document{Revision: response.GetRevision(), Data: document}, nil
}
