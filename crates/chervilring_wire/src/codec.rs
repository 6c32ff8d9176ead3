//! Frames on TCP and datagrams on UDP.
//!
//! A frame is a magic number, the protocol version, the length of the payload and the payload
//! itself, a `postcard` encoding. A datagram is the same without the length.

use std::fmt;

use serde::Serialize;
use serde::de::DeserializeOwned;

/// The version of the protocol; frames of another version are refused.
pub const PROTOCOL: u8 = 1;

/// The first bytes of each frame and datagram.
pub const MAGIC: [u8; 3] = *b"cvr";

/// The longest payload of a frame, in bytes.
pub const MAX_FRAME: usize = 64 << 20;

/// The longest datagram, in bytes.
pub const MAX_DATAGRAM: usize = 8 << 10;

/// The bytes before a frame's payload.
pub const FRAME_HEADER: usize = 8;

const DATAGRAM_HEADER: usize = 4;

/// Why bytes from the network were not understood.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CodecError {
    /// The bytes do not start like one of our frames.
    Foreign,
    /// The peer speaks another version of the protocol.
    Version(u8),
    /// The payload is longer than allowed.
    TooLong(usize),
    /// The payload does not decode to the expected message.
    Malformed,
}

impl fmt::Display for CodecError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Foreign => f.write_str("not a chervilring frame"),
            Self::Version(v) => write!(f, "protocol version {v}, expected {PROTOCOL}"),
            Self::TooLong(n) => write!(f, "payload of {n} bytes is longer than allowed"),
            Self::Malformed => f.write_str("payload does not decode"),
        }
    }
}

impl std::error::Error for CodecError {}

/// Appends a message to `out` as one frame.
///
/// # Errors
///
/// Returns [`CodecError::TooLong`] and leaves `out` as it was when the payload would be longer
/// than [`MAX_FRAME`].
pub fn write_frame<T: Serialize>(out: &mut Vec<u8>, message: &T) -> Result<(), CodecError> {
    let start = out.len();
    out.extend_from_slice(&MAGIC);
    out.push(PROTOCOL);
    out.extend_from_slice(&[0; 4]);
    let written = postcard::to_extend(message, std::mem::take(out));
    *out = written.map_err(|_| CodecError::Malformed)?;
    let len = out.len() - start - FRAME_HEADER;
    if len > MAX_FRAME {
        out.truncate(start);
        return Err(CodecError::TooLong(len));
    }
    let field = &mut out[start + 4..start + FRAME_HEADER];
    field.copy_from_slice(&(len as u32).to_be_bytes());
    Ok(())
}

/// Reads the frame at the start of `input`: the message and the bytes it took, or `None` when the
/// frame is not whole yet.
///
/// # Errors
///
/// Returns an error when the bytes can never become a frame; the connection is then of no use.
pub fn read_frame<T: DeserializeOwned>(input: &[u8]) -> Result<Option<(T, usize)>, CodecError> {
    check_prefix(input)?;
    let Some(field) = input.get(4..FRAME_HEADER) else {
        return Ok(None);
    };
    let len = u32::from_be_bytes([field[0], field[1], field[2], field[3]]) as usize;
    if len > MAX_FRAME {
        return Err(CodecError::TooLong(len));
    }
    let Some(payload) = input.get(FRAME_HEADER..FRAME_HEADER + len) else {
        return Ok(None);
    };
    Ok(Some((decode(payload)?, FRAME_HEADER + len)))
}

/// Encodes a datagram.
///
/// # Errors
///
/// Returns [`CodecError::TooLong`] when it would be longer than [`MAX_DATAGRAM`].
pub fn write_datagram<T: Serialize>(message: &T) -> Result<Vec<u8>, CodecError> {
    let mut out = MAGIC.to_vec();
    out.push(PROTOCOL);
    let out = postcard::to_extend(message, out).map_err(|_| CodecError::Malformed)?;
    if out.len() > MAX_DATAGRAM {
        return Err(CodecError::TooLong(out.len()));
    }
    Ok(out)
}

/// Decodes a datagram.
///
/// # Errors
///
/// Returns an error when the bytes are not a datagram of this protocol version.
pub fn read_datagram<T: DeserializeOwned>(input: &[u8]) -> Result<T, CodecError> {
    check_prefix(input)?;
    if input.len() > MAX_DATAGRAM {
        return Err(CodecError::TooLong(input.len()));
    }
    let payload = input.get(DATAGRAM_HEADER..).ok_or(CodecError::Foreign)?;
    decode(payload)
}

/// Checks as much of the magic number and version as has come in.
fn check_prefix(input: &[u8]) -> Result<(), CodecError> {
    let magic = &input[..input.len().min(MAGIC.len())];
    if !MAGIC.starts_with(magic) {
        return Err(CodecError::Foreign);
    }
    match input.get(MAGIC.len()) {
        Some(&PROTOCOL) | None => Ok(()),
        Some(&version) => Err(CodecError::Version(version)),
    }
}

/// Decodes a payload that must be used up to its last byte.
fn decode<T: DeserializeOwned>(payload: &[u8]) -> Result<T, CodecError> {
    match postcard::take_from_bytes(payload) {
        Ok((message, [])) => Ok(message),
        _ => Err(CodecError::Malformed),
    }
}
