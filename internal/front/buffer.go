package front

// InputBuffer holds received bytes until they are parsed. It grows by whole blocks and not by a factor, so that a peer
// can't make it much larger than what it sent, and it gives its memory back when it is empty. The zero value is empty.
type InputBuffer struct{ bytes []byte }

// bufferBlockBytes is the granularity of an input buffer, and the size that an empty one keeps.
const bufferBlockBytes = 2 << 10

// Append adds received bytes.
func (b *InputBuffer) Append(p []byte) {
	if size := len(b.bytes) + len(p); size > cap(b.bytes) {
		blocks := (size + bufferBlockBytes - 1) / bufferBlockBytes
		b.bytes = append(make([]byte, 0, blocks*bufferBlockBytes), b.bytes...)
	}
	b.bytes = append(b.bytes, p...)
}

// Bytes returns the bytes that are not parsed yet. They are valid until the next call of Append or Discard.
func (b *InputBuffer) Bytes() []byte { return b.bytes }

// Len returns the number of bytes that are not parsed yet.
func (b *InputBuffer) Len() int { return len(b.bytes) }

// Discard removes the first n bytes.
func (b *InputBuffer) Discard(n int) {
	b.bytes = b.bytes[:copy(b.bytes, b.bytes[n:])]
	if len(b.bytes) == 0 && cap(b.bytes) > bufferBlockBytes {
		b.bytes = nil
	}
}
