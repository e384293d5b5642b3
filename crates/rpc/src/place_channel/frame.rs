//! Frames: a length of 4 bytes, big-endian, and a message in postcard's format.

use std::io;

use bytes::{Buf, BytesMut};
use postcard::ser_flavors::Flavor;
use serde::{Serialize, de::DeserializeOwned};
use tokio::net::TcpStream;

use super::MAX_READ_BYTES;

/// Maximum size of a message.
pub const MAX_FRAME_BYTES: usize = 1024 * 1024;

/// Size of the length before a message.
pub(crate) const LENGTH_BYTES: usize = 4;

/// Space for a read; a batch of some dozens of requests.
const READ_BYTES: usize = 16 * 1024;

/// Why a frame could not be written or read.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub(crate) enum FrameError {
    /// The message is larger than [`MAX_FRAME_BYTES`].
    #[error("frame of {0} bytes is too large")]
    TooLarge(usize),
    /// The bytes are not a message of this version.
    #[error("malformed frame: {0}")]
    Malformed(#[from] postcard::Error),
    /// Bytes follow the message.
    #[error("malformed frame: {0} bytes follow the message")]
    Trailing(usize),
}

/// Writes a message to the end of a buffer.
struct Tail<'a>(&'a mut BytesMut);

impl Flavor for Tail<'_> {
    type Output = ();

    fn try_push(&mut self, byte: u8) -> postcard::Result<()> {
        self.0.extend_from_slice(&[byte]);
        Ok(())
    }

    fn try_extend(&mut self, bytes: &[u8]) -> postcard::Result<()> {
        self.0.extend_from_slice(bytes);
        Ok(())
    }

    fn finalize(self) -> postcard::Result<()> {
        Ok(())
    }
}

/// Appends a frame to a buffer, which is unchanged if this fails.
pub(crate) fn encode<T: Serialize>(message: &T, buf: &mut BytesMut) -> Result<(), FrameError> {
    let start = buf.len();
    buf.extend_from_slice(&[0; LENGTH_BYTES]);
    let encoded = postcard::serialize_with_flavor(message, Tail(buf)).map_err(FrameError::from);
    let len = buf.len() - start - LENGTH_BYTES;
    let checked = encoded.and_then(|()| match u32::try_from(len) {
        Ok(prefix) if len <= MAX_FRAME_BYTES => Ok(prefix),
        _ => Err(FrameError::TooLarge(len)),
    });
    match checked {
        Ok(prefix) => {
            buf[start..start + LENGTH_BYTES].copy_from_slice(&prefix.to_be_bytes());
            Ok(())
        }
        Err(error) => {
            buf.truncate(start);
            Err(error)
        }
    }
}

/// Length of the first frame in a buffer with its prefix; absent without a complete prefix.
pub(crate) fn frame_len(buf: &[u8]) -> Option<usize> {
    let prefix = buf.first_chunk::<LENGTH_BYTES>()?;
    Some(u32::from_be_bytes(*prefix) as usize + LENGTH_BYTES)
}

/// Takes the first message from a buffer; absent if it is not complete.
pub(crate) fn decode<T: DeserializeOwned>(buf: &mut BytesMut) -> Result<Option<T>, FrameError> {
    let len = match frame_len(buf) {
        Some(len) if len - LENGTH_BYTES > MAX_FRAME_BYTES => {
            return Err(FrameError::TooLarge(len - LENGTH_BYTES));
        }
        Some(len) if len <= buf.len() => len,
        _ => return Ok(None),
    };
    let (message, rest) = postcard::take_from_bytes(&buf[LENGTH_BYTES..len])?;
    match rest.len() {
        0 => {
            buf.advance(len);
            Ok(Some(message))
        }
        trailing => Err(FrameError::Trailing(trailing)),
    }
}

/// Reads what has arrived, up to a limit; fails if the peer has closed the connection.
pub(crate) fn read_available(stream: &TcpStream, buf: &mut BytesMut) -> io::Result<bool> {
    let before = buf.len();
    // A frame that is longer than the limit must still be read to its end.
    let limit = MAX_READ_BYTES.max(frame_len(buf).unwrap_or(0).min(MAX_FRAME_BYTES + LENGTH_BYTES));
    while buf.len() < limit {
        buf.reserve(READ_BYTES);
        match stream.try_read_buf(buf) {
            Ok(0) => return Err(io::ErrorKind::UnexpectedEof.into()),
            Ok(_) => {}
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => break,
            Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
            Err(error) => return Err(error),
        }
    }
    Ok(buf.len() > before)
}

/// Writes what the connection takes of a buffer; returns the number of bytes.
pub(crate) fn write_available(stream: &TcpStream, buf: &mut BytesMut) -> io::Result<usize> {
    let mut written = 0;
    while !buf.is_empty() {
        match stream.try_write(buf) {
            Ok(n) => {
                buf.advance(n);
                written += n;
            }
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => break,
            Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
            Err(error) => return Err(error),
        }
    }
    Ok(written)
}
