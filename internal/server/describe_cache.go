package server

import (
	"container/list"
	"sync"
)

// describeCache keeps what engines answered to the Describe of a statement, by text and types: the last used
// ones.
type describeCache struct {
	mu       sync.Mutex
	capacity int
	entries  map[string]*list.Element
	recent   *list.List
}

type describeEntry struct {
	key      string
	response []byte
}

func newDescribeCache(most int) *describeCache {
	return &describeCache{capacity: most, entries: map[string]*list.Element{}, recent: list.New()}
}

func (s *describeCache) get(key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	el := s.entries[key]
	if el == nil {
		return nil
	}
	s.recent.MoveToFront(el)
	return el.Value.(*describeEntry).response
}

// put keeps a shape; nil: an error came for the statement, so what is known of it may be out of date.
func (s *describeCache) put(key string, b []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	el := s.entries[key]
	switch {
	case b == nil && el != nil:
		s.recent.Remove(el)
		delete(s.entries, key)
	case b == nil:
	case el != nil:
		el.Value.(*describeEntry).response = b
		s.recent.MoveToFront(el)
	default:
		s.entries[key] = s.recent.PushFront(&describeEntry{key, b})
		if s.recent.Len() > s.capacity {
			old := s.recent.Remove(s.recent.Back()).(*describeEntry)
			delete(s.entries, old.key)
		}
	}
}
