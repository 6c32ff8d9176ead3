//! Encodes and decodes frames for TCP and datagrams for UDP.
//!
//! A frame consists of a magic number (3 bytes), the protocol version (1 byte), the length of the
//! payload (4 bytes, big-endian) and the payload, a message encoded by `postcard`. A datagram has
//! the same layout without the length.

use std::fmt;

use serde::Serialize;
use serde::de::DeserializeOwned;

/// The version of the protocol. Frames and datagrams of other versions are rejected.
pub const PROTOCOL: u8 = 1;

/// The first bytes of each frame and datagram.
pub const MAGIC: [u8; 3] = *b"cvr";

/// The maximum size of the payload of a frame, in bytes.
pub const MAX_FRAME: usize = 64 << 20;

/// The maximum size of a datagram with its header, in bytes.
pub const MAX_DATAGRAM: usize = 8 << 10;

/// The size of the header of a frame, in bytes.
pub const FRAME_HEADER: usize = 8;

/// The size of the header of a datagram, in bytes.
const DATAGRAM_HEADER: usize = 4;

/// The error returned when bytes from the network are not a valid message, or when a message
/// cannot be encoded.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CodecError {
    /// The bytes do not start with the magic number.
    Foreign,
    /// The peer uses this other version of the protocol.
    Version(u8),
    /// The message of this many bytes exceeds the size limit.
    TooLong(usize),
    /// The payload does not decode to the expected message, or has trailing bytes.
    Malformed,
}

impl fmt::Display for CodecError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Foreign => f.write_str("not a chervilring frame"),
            Self::Version(v) => write!(f, "protocol version {v}, expected {PROTOCOL}"),
            Self::TooLong(n) => write!(f, "message of {n} bytes exceeds the size limit"),
            Self::Malformed => f.write_str("payload is not a valid message"),
        }
    }
}

impl std::error::Error for CodecError {}

/// Encodes a message as one frame and appends it to `out`.
///
/// # Errors
///
/// Returns [`CodecError::TooLong`] and leaves `out` unchanged when the payload would be longer
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

/// Decodes the frame at the start of `input`.
///
/// Returns the message and the size of its frame in bytes, or `None` when the frame is incomplete.
///
/// # Errors
///
/// Returns an error when the bytes cannot become a valid frame, whatever follows them. The
/// connection must then be closed.
pub fn read_frame<T: DeserializeOwned>(input: &[u8]) -> Result<Option<(T, usize)>, CodecError> {
    let Some(len) = payload_len(input)? else {
        return Ok(None);
    };
    let Some(payload) = input.get(FRAME_HEADER..FRAME_HEADER + len) else {
        return Ok(None);
    };
    Ok(Some((decode(payload)?, FRAME_HEADER + len)))
}

/// Returns the size of the payload that the frame at the start of `input` announces, in bytes, or `None`
/// when its header is incomplete.
///
/// # Errors
///
/// Returns an error when the bytes cannot become a valid frame, whatever follows them.
pub fn payload_len(input: &[u8]) -> Result<Option<usize>, CodecError> {
    check_prefix(input)?;
    let Some(field) = input.get(4..FRAME_HEADER) else {
        return Ok(None);
    };
    let len = u32::from_be_bytes([field[0], field[1], field[2], field[3]]) as usize;
    if len > MAX_FRAME {
        return Err(CodecError::TooLong(len));
    }
    Ok(Some(len))
}

/// Encodes a message as one datagram.
///
/// # Errors
///
/// Returns [`CodecError::TooLong`] when the datagram would be longer than [`MAX_DATAGRAM`].
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
/// Returns an error when the bytes are not a valid datagram of this protocol version.
pub fn read_datagram<T: DeserializeOwned>(input: &[u8]) -> Result<T, CodecError> {
    check_prefix(input)?;
    if input.len() > MAX_DATAGRAM {
        return Err(CodecError::TooLong(input.len()));
    }
    let payload = input.get(DATAGRAM_HEADER..).ok_or(CodecError::Foreign)?;
    decode(payload)
}

/// Checks as much of the magic number and the version as has been received.
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

/// Decodes a payload. Trailing bytes are an error.
fn decode<T: DeserializeOwned>(payload: &[u8]) -> Result<T, CodecError> {
    match postcard::take_from_bytes(payload) {
        Ok((message, [])) => Ok(message),
        _ => Err(CodecError::Malformed),
    }
}
