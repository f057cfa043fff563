package balance

import (
	"container/list"
	"strconv"

	"github.com/sardinedock/sardinedock/prefix"
)

// Scope is the text under which endpoints keep the parts of a request. It holds
// the version, because endpoints do not tell under which weights a part was made:
// parts of older weights, or of another organisation behind a wall, can then never
// match.
func Scope(wall string, version int64) string {
	return wall + "/v" + strconv.FormatInt(version, 10)
}

// partCache models which prompt parts one endpoint holds: the least recently
// used go first when the memory is full, as in the endpoint itself.
type partCache struct {
	capacity int64
	used     int64
	parts    map[prefix.PartKey]*list.Element
	// order has the part used last in front.
	order *list.List
}

type cachedPart struct {
	key    prefix.PartKey
	tokens int64
	// read says that the endpoint has read the part; before that it cannot be
	// fetched from there.
	read bool
}

func newPartCache(capacity int64) *partCache {
	return &partCache{capacity: capacity, parts: map[prefix.PartKey]*list.Element{}, order: list.New()}
}

// use notes that a run uses the part.
func (c *partCache) use(key prefix.PartKey, tokens int64) {
	if e, ok := c.parts[key]; ok {
		c.order.MoveToFront(e)
		return
	}
	c.parts[key] = c.order.PushFront(&cachedPart{key: key, tokens: tokens})
	c.used += tokens
	for c.used > c.capacity && c.order.Len() > 1 {
		c.drop(c.order.Back())
	}
}

// markRead notes that the parts are in memory now.
func (c *partCache) markRead(keys []prefix.PartKey) {
	for _, k := range keys {
		if e, ok := c.parts[k]; ok {
			e.Value.(*cachedPart).read = true
		}
	}
}

func (c *partCache) drop(e *list.Element) {
	p := e.Value.(*cachedPart)
	c.order.Remove(e)
	delete(c.parts, p.key)
	c.used -= p.tokens
}

// forget drops parts that a run would have read but did not.
func (c *partCache) forget(keys []prefix.PartKey) {
	for _, k := range keys {
		if e, ok := c.parts[k]; ok && !e.Value.(*cachedPart).read {
			c.drop(e)
		}
	}
}

// leading returns how many of the leading parts are held or being read, and how
// many are in memory now.
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

// set notes that the endpoint says it has the part.
func (c *partCache) set(key prefix.PartKey, tokens int64) {
	if e, ok := c.parts[key]; ok {
		e.Value.(*cachedPart).read = true
		return
	}
	c.use(key, tokens)
	if e, ok := c.parts[key]; ok {
		e.Value.(*cachedPart).read = true
	}
}

// remove notes that the endpoint says it has the part no more.
func (c *partCache) remove(key prefix.PartKey) {
	if e, ok := c.parts[key]; ok {
		c.drop(e)
	}
}

// held returns the parts that are in memory, the one used last first.
func (c *partCache) held() []CachedPart {
	var list []CachedPart
	for e := c.order.Front(); e != nil; e = e.Next() {
		if p := e.Value.(*cachedPart); p.read {
			list = append(list, CachedPart{Key: p.key, Tokens: p.tokens})
		}
	}
	return list
}
