package server

import (
	"container/list"
	"sync"
)

// describeCache caches engines' responses to the Describe of a statement, by its text and parameter types.
// When it exceeds its capacity, it drops the least recently used response. It is safe for concurrent use.
type describeCache struct {
	mu       sync.Mutex
	capacity int                      // entries
	entries  map[string]*list.Element // elements of recent, whose values are *describeEntry
	recent   *list.List               // the most recently used entry first
}

// describeEntry is a cached response and its key.
type describeEntry struct {
	key      string
	response []byte
}

func newDescribeCache(capacity int) *describeCache {
	return &describeCache{capacity: capacity, entries: map[string]*list.Element{}, recent: list.New()}
}

// get returns the cached response for a key, or nil.
func (c *describeCache) get(key string) []byte {
	c.mu.Lock()
	defer c.mu.Unlock()
	element := c.entries[key]
	if element == nil {
		return nil
	}
	c.recent.MoveToFront(element)
	return element.Value.(*describeEntry).response
}

// put caches a response. A nil response removes the key: the statement has failed, so its description may be
// out of date.
func (c *describeCache) put(key string, response []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	element := c.entries[key]
	switch {
	case response == nil && element != nil:
		c.recent.Remove(element)
		delete(c.entries, key)
	case response == nil:
	case element != nil:
		element.Value.(*describeEntry).response = response
		c.recent.MoveToFront(element)
	default:
		c.entries[key] = c.recent.PushFront(&describeEntry{key, response})
		if c.recent.Len() > c.capacity {
			oldest := c.recent.Remove(c.recent.Back()).(*describeEntry)
			delete(c.entries, oldest.key)
		}
	}
}
