//! Checksummed frames: magic, length, checksum, content.

use serde::Serialize;

/// Marks the start of a frame.
const MAGIC: [u8; 4] = *b"EGF1";
/// Length of the checksum.
const CHECKSUM_BYTES: usize = 16;
/// Length of the header before the content.
const HEADER_BYTES: usize = MAGIC.len() + 4 + CHECKSUM_BYTES;

/// The result of decoding at an offset of a file.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum Decoded<'a> {
    /// An intact frame, and the offset of the next one.
    Frame { content: &'a [u8], next: usize },
    /// The end of the file.
    End,
    /// A torn or damaged frame.
    Invalid,
}

/// Encodes a value as the content of a frame; `bytes_min` is the size that it has at least.
pub(crate) fn encode<T: Serialize>(value: &T, bytes_min: usize) -> Vec<u8> {
    // Some room for lengths and indices beside the bytes that the value is known to have.
    let mut bytes = Vec::with_capacity(HEADER_BYTES + bytes_min + bytes_min / 64 + 256);
    bytes.resize(HEADER_BYTES, 0);
    let mut bytes = postcard::to_extend(value, bytes).expect("plain data always encodes");
    let (header, content) = bytes.split_at_mut(HEADER_BYTES);
    let length = u32::try_from(content.len()).unwrap_or(u32::MAX);
    let (magic, rest) = header.split_at_mut(MAGIC.len());
    let (length_field, sum) = rest.split_at_mut(4);
    magic.copy_from_slice(&MAGIC);
    length_field.copy_from_slice(&length.to_le_bytes());
    sum.copy_from_slice(&checksum(content));
    bytes
}

/// Decodes the frame at `offset`.
pub(crate) fn decode(bytes: &[u8], offset: usize) -> Decoded<'_> {
    let Some(rest) = bytes.get(offset..).filter(|rest| !rest.is_empty()) else {
        return Decoded::End;
    };
    let Some((header, content)) = rest.split_at_checked(HEADER_BYTES) else {
        return Decoded::Invalid;
    };
    let (magic, header) = header.split_at(MAGIC.len());
    let (length, sum) = header.split_at(4);
    let length = length.try_into().map_or(0, u32::from_le_bytes) as usize;
    match content.get(..length) {
        Some(content) if magic == MAGIC && sum == checksum(content) => {
            Decoded::Frame { content, next: offset + HEADER_BYTES + length }
        }
        _ => Decoded::Invalid,
    }
}

/// Returns whether an intact frame starts anywhere after `offset`.
pub(crate) fn has_frame_after(bytes: &[u8], offset: usize) -> bool {
    let Some(rest) = bytes.get(offset + 1..) else {
        return false;
    };
    rest.windows(MAGIC.len())
        .enumerate()
        .filter(|(_, window)| *window == MAGIC)
        .any(|(position, _)| matches!(decode(bytes, offset + 1 + position), Decoded::Frame { .. }))
}

fn checksum(content: &[u8]) -> [u8; CHECKSUM_BYTES] {
    let mut sum = [0; CHECKSUM_BYTES];
    sum.copy_from_slice(&blake3::hash(content).as_bytes()[..CHECKSUM_BYTES]);
    sum
}
