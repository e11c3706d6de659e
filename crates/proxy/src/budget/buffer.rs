//! Buffers of connections, which give up the memory of large messages.

use bytes::BytesMut;

/// Bytes of a message beyond which the buffer that held it is given up.
const MAX_KEPT_BYTES: usize = 64 * 1_024;
/// Capacity of a new buffer.
const INITIAL_CAPACITY: usize = 8 * 1_024;

/// Moves what remains in a buffer to a small one, if a message of `bytes` went through it.
///
/// The capacity does not tell: a buffer that was read in part shows only what is left behind that part.
pub fn shrink(buffer: &mut BytesMut, bytes: usize) {
    if bytes.max(buffer.capacity()) <= MAX_KEPT_BYTES {
        return;
    }
    let mut smaller = BytesMut::with_capacity(INITIAL_CAPACITY.max(buffer.len()));
    smaller.extend_from_slice(buffer);
    *buffer = smaller;
}
