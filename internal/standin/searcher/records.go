package searcher

import (
	"cmp"
	"encoding/binary"
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"

	"cornelwood.example/internal/contract/answerer"
)

const (
	// maxMatches is the largest number of hits in one shard.
	maxMatches = 20
	// scoreSteps is the number of distinct scores, few enough for ties.
	scoreSteps = 4096
	// DefaultDocuments is the number of documents in a shard when Config.Documents is 0.
	DefaultDocuments = 1000
)

// Hits returns the hits of one shard for terms in one version: at most limit, by falling score and then by ID. It is a
// pure function.
func Hits(service string, shard int, version uint64, terms string, limit int) []answerer.Hit {
	base := hash(service, terms, uint64(shard), version)
	n := 1 + int(base%maxMatches)
	hits := make([]answerer.Hit, n)
	for i := range hits {
		score := float64(1+hash("", "", base, uint64(i))%scoreSteps) / scoreSteps
		hits[i] = answerer.Hit{
			ID:    fmt.Sprintf("%s-%d-%02d", service, shard, i),
			Shard: shard,
			Score: score,
			Text:  fmt.Sprintf("%s in version %d", terms, version),
		}
	}
	slices.SortFunc(hits, Compare)
	return hits[:min(limit, n)]
}

// Compare is the order of hits in answers: by falling score, then by shard and by ID.
func Compare(a, b answerer.Hit) int {
	return cmp.Or(cmp.Compare(b.Score, a.Score), cmp.Compare(a.Shard, b.Shard), cmp.Compare(a.ID, b.ID))
}

// MergedHits returns the expected merged results of shards in one version: at most limit hits.
func MergedHits(service string, shards []int, version uint64, terms string, limit int) []answerer.Hit {
	hits := make([]answerer.Hit, 0, limit)
	for _, shard := range shards {
		hits = append(hits, Hits(service, shard, version, terms, limit)...)
	}
	slices.SortFunc(hits, Compare)
	return hits[:min(limit, len(hits))]
}

// DocumentCount returns the number of documents of a shard in one version, slightly above size and different from
// version to version. It is a pure function.
func DocumentCount(size uint64, shard int, version uint64) uint64 {
	return size + uint64(shard%7) + version
}

// hash returns a 64-bit hash of its arguments.
func hash(a, b string, m, n uint64) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(a)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(b)
	var buf [16]byte
	binary.LittleEndian.PutUint64(buf[:8], m)
	binary.LittleEndian.PutUint64(buf[8:], n)
	_, _ = d.Write(buf[:])
	return d.Sum64()
}
