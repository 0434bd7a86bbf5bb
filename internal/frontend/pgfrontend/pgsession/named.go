package pgsession

// namedObjectBytes is what a prepared statement or portal holds besides its texts.
const namedObjectBytes = 512

// sized is an object that knows how many bytes of its client's input it holds.
type sized interface{ size() int }

// namedObjects holds the prepared statements or the portals of a session by name, and counts their bytes. The
// zero value is empty.
type namedObjects[V sized] struct {
	byName map[string]V
	bytes  int
}

// get returns the object of a name. ok is false if there is none.
func (o *namedObjects[V]) get(name string) (object V, ok bool) {
	object, ok = o.byName[name]
	return object, ok
}

// put stores an object. It replaces one of the same name.
func (o *namedObjects[V]) put(name string, object V) {
	o.remove(name)
	if o.byName == nil {
		o.byName = map[string]V{}
	}
	o.byName[name] = object
	o.bytes += bytesOf(name, object)
}

// remove removes the object of a name, if there is one.
func (o *namedObjects[V]) remove(name string) {
	if object, ok := o.byName[name]; ok {
		o.bytes -= bytesOf(name, object)
		delete(o.byName, name)
	}
}

// clear removes all objects.
func (o *namedObjects[V]) clear() {
	clear(o.byName)
	o.bytes = 0
}

func bytesOf(name string, object sized) int { return namedObjectBytes + len(name) + object.size() }

func (st *statement) size() int { return len(st.text) + len(st.parameterTypes) }

func (p *portal) size() int { return len(p.bindBody) }
