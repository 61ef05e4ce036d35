//! Envelope of a log record: a format number and a checksum, so that a torn record is seen as such.

use coltsfootpick_core::claims::ClaimRecord;
use coltsfootpick_core::record::{Batch, EnvironmentRecord, ShardRecord};
use derive_more::{Display, Error, From};
use prost::Message;
use xxhash_rust::xxh3::xxh3_64;

use crate::claims::ClaimMessage;
use crate::convert::ConvertError;
use crate::messages;

/// Format written by this version.
pub const FORMAT: u8 = 1;

const CHECKSUM_BYTES: usize = 8;
const HEADER_BYTES: usize = 1 + CHECKSUM_BYTES;

/// Why the bytes of a record are not a record.
#[derive(Debug, Display, Error, From)]
pub enum RecordError {
    /// Shorter than its header.
    #[display("the record is cut short")]
    Short,
    /// Written in a format this version does not read.
    #[display("unknown record format {_0}")]
    #[from(skip)]
    Format(#[error(not(source))] u8),
    /// The checksum does not match.
    #[display("the checksum does not match")]
    Checksum,
    /// Not the encoded message expected.
    #[display("not a record: {_0}")]
    Decode(prost::DecodeError),
    /// The message lacks a required part.
    #[display("not a record: {_0}")]
    Convert(ConvertError),
}

pub(crate) fn seal(message: &impl Message) -> Vec<u8> {
    let payload = message.encode_to_vec();
    let mut bytes = Vec::with_capacity(HEADER_BYTES + payload.len());
    bytes.push(FORMAT);
    bytes.extend_from_slice(&xxh3_64(&payload).to_le_bytes());
    bytes.extend_from_slice(&payload);
    bytes
}

pub(crate) fn open(bytes: &[u8]) -> Result<&[u8], RecordError> {
    let (header, payload) = bytes.split_at_checked(HEADER_BYTES).ok_or(RecordError::Short)?;
    match header {
        [FORMAT, checksum @ ..] if checksum == xxh3_64(payload).to_le_bytes() => Ok(payload),
        [FORMAT, ..] => Err(RecordError::Checksum),
        [format, ..] => Err(RecordError::Format(*format)),
        [] => Err(RecordError::Short),
    }
}

/// Encodes a ledger record.
pub fn encode_shard(record: &ShardRecord) -> Vec<u8> {
    seal(&messages::ShardRecord::from(record))
}

/// Decodes a ledger record.
pub fn decode_shard(bytes: &[u8]) -> Result<ShardRecord, RecordError> {
    Ok(messages::ShardRecord::decode(open(bytes)?)?.try_into()?)
}

/// Encodes an environment record.
pub fn encode_environment(record: &EnvironmentRecord) -> Vec<u8> {
    seal(&messages::EnvironmentRecord::from(record))
}

/// Decodes an environment record.
pub fn decode_environment(bytes: &[u8]) -> Result<EnvironmentRecord, RecordError> {
    Ok(messages::EnvironmentRecord::decode(open(bytes)?)?.try_into()?)
}

/// Encodes a claim record.
pub fn encode_claim(record: &ClaimRecord) -> Vec<u8> {
    seal(&ClaimMessage::from(record))
}

/// Decodes a claim record.
pub fn decode_claim(bytes: &[u8]) -> Result<ClaimRecord, RecordError> {
    Ok(ClaimMessage::decode(open(bytes)?)?.try_into()?)
}

/// Word of a trace for the batches that an instance takes: their count and digest.
pub fn batches_digest(batches: impl Iterator<Item = Batch>) -> String {
    let encoded: Vec<Vec<u8>> = batches.map(|batch| encode_shard(&ShardRecord::Batch(batch))).collect();
    match encoded.len() {
        0 => "0".to_owned(),
        count => format!("{count} {:x}", xxh3_64(&encoded.concat())),
    }
}
