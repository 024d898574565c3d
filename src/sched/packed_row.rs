//! Compresses rows that could otherwise exceed what the store holds in one row.

use std::io::{self, Read, Write};

use flate2::read::GzDecoder;
use flate2::write::GzEncoder;
use flate2::Compression;

/// Rows above this size are compressed. The store holds 64 KiB in one row.
const COMPRESS_ABOVE_BYTES: usize = 48 << 10;
/// Limit on the size of a row once it is decompressed.
const MAX_UNPACKED_BYTES: u64 = 4 << 20;
/// First byte of a compressed row. A row of the scheduler begins with the number of a variant, which is much smaller.
const GZIP_FIRST_BYTE: u8 = 0x1f;

/// Compresses a row if it is large.
pub(super) fn pack(row: Vec<u8>) -> Vec<u8> {
    if row.len() <= COMPRESS_ABOVE_BYTES {
        return row;
    }
    let mut encoder = GzEncoder::new(Vec::new(), Compression::fast());
    // Writing to memory cannot fail.
    encoder.write_all(&row).and_then(|()| encoder.finish()).unwrap_or(row)
}

/// Decompresses a row if it is compressed. Fails if it is cut off; what exceeds the limit is left out.
pub(super) fn unpack(bytes: &[u8]) -> io::Result<Vec<u8>> {
    if bytes.first() != Some(&GZIP_FIRST_BYTE) {
        return Ok(bytes.to_vec());
    }
    let mut row = Vec::new();
    GzDecoder::new(bytes).take(MAX_UNPACKED_BYTES).read_to_end(&mut row)?;
    Ok(row)
}
