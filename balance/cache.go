package balance

import (
	"container/list"
	"strconv"

	"github.com/sardinedock/sardinedock/prefix"
)

// Scope returns the prefix of the keys under which endpoints cache the parts of a request.
// It contains the version of the weights, because endpoints do not report with which weights
// a part was computed. Parts of older weights, or of an organisation behind another wall,
// therefore never match.
func Scope(wall string, version int64) string {
	return wall + "/v" + strconv.FormatInt(version, 10)
}

// partCache models the prompt parts cached by one endpoint. Like the endpoint itself, it
// evicts the least recently used parts when the memory is full.
type partCache struct {
	capacity int64
	used     int64
	parts    map[prefix.PartKey]*list.Element
	// order has the most recently used part at the front.
	order *list.List
}

type cachedPart struct {
	key    prefix.PartKey
	tokens int64
	// read reports whether the endpoint has read the part; until then it cannot be fetched
	// from there.
	read bool
}

func newPartCache(capacity int64) *partCache {
	return &partCache{capacity: capacity, parts: map[prefix.PartKey]*list.Element{}, order: list.New()}
}

// touch records the use of a part by a run.
func (c *partCache) touch(key prefix.PartKey, tokens int64) {
	if e, ok := c.parts[key]; ok {
		c.order.MoveToFront(e)
		return
	}
	c.parts[key] = c.order.PushFront(&cachedPart{key: key, tokens: tokens})
	c.used += tokens
	for c.used > c.capacity && c.order.Len() > 1 {
		c.evict(c.order.Back())
	}
}

// markRead records that the parts are in memory.
func (c *partCache) markRead(keys []prefix.PartKey) {
	for _, k := range keys {
		if e, ok := c.parts[k]; ok {
			e.Value.(*cachedPart).read = true
		}
	}
}

func (c *partCache) evict(e *list.Element) {
	p := e.Value.(*cachedPart)
	c.order.Remove(e)
	delete(c.parts, p.key)
	c.used -= p.tokens
}

// removeUnread removes the parts that a run should have read but did not.
func (c *partCache) removeUnread(keys []prefix.PartKey) {
	for _, k := range keys {
		if e, ok := c.parts[k]; ok && !e.Value.(*cachedPart).read {
			c.evict(e)
		}
	}
}

// leading returns how many of the leading parts are cached or being read, and how many of
// them have been read.
func (c *partCache) leading(keys []prefix.PartKey) (held, read int) {
	allRead := true
	for _, k := range keys {
		e, ok := c.parts[k]
		if !ok {
			break
		}
		held++
		if allRead = allRead && e.Value.(*cachedPart).read; allRead {
			read++
		}
	}
	return held, read
}

// set records that the endpoint reported the part as cached.
func (c *partCache) set(key prefix.PartKey, tokens int64) {
	if e, ok := c.parts[key]; ok {
		e.Value.(*cachedPart).read = true
		return
	}
	c.touch(key, tokens)
	if e, ok := c.parts[key]; ok {
		e.Value.(*cachedPart).read = true
	}
}

// remove records that the endpoint reported the part as evicted.
func (c *partCache) remove(key prefix.PartKey) {
	if e, ok := c.parts[key]; ok {
		c.evict(e)
	}
}

// cached returns the parts that have been read, the most recently used first.
func (c *partCache) cached() []CachedPart {
	var list []CachedPart
	for e := c.order.Front(); e != nil; e = e.Next() {
		if p := e.Value.(*cachedPart); p.read {
			list = append(list, CachedPart{Key: p.key, Tokens: p.tokens})
		}
	}
	return list
}
