//! Envelope of a log record: a format number, and a checksum that detects a torn or damaged record.

use coltsfootpick_core::ownership::OwnershipRecord;
use coltsfootpick_core::record::{Batch, EnvironmentRecord, ShardRecord};
use derive_more::{Display, Error, From};
use prost::Message;
use xxhash_rust::xxh3::xxh3_64;

use crate::convert::ConvertError;
use crate::messages;
use crate::ownership::OwnershipRecordMessage;

/// Record format that this version writes, and the only one that it reads.
pub const FORMAT: u8 = 1;

const CHECKSUM_BYTES: usize = 8;
const HEADER_BYTES: usize = 1 + CHECKSUM_BYTES;

/// Reason why the bytes of a record cannot be decoded.
#[derive(Debug, Display, Error, From)]
pub enum RecordError {
    /// The bytes end within the header.
    #[display("the record is cut short")]
    Truncated,
    /// The record has a format that this version cannot read.
    #[display("unknown record format {_0}")]
    #[from(skip)]
    UnknownFormat(#[error(not(source))] u8),
    /// The checksum does not match.
    #[display("the checksum does not match")]
    ChecksumMismatch,
    /// The payload is not an encoded message of the expected type.
    #[display("the message cannot be decoded: {_0}")]
    Decode(prost::DecodeError),
    /// The message is not a valid record.
    #[display("the message is not a valid record: {_0}")]
    Convert(ConvertError),
}

/// Encodes a message behind a header of format and checksum.
pub(crate) fn encode_record(message: &impl Message) -> Vec<u8> {
    let payload = message.encode_to_vec();
    let mut bytes = Vec::with_capacity(HEADER_BYTES + payload.len());
    bytes.push(FORMAT);
    bytes.extend_from_slice(&xxh3_64(&payload).to_le_bytes());
    bytes.extend_from_slice(&payload);
    bytes
}

/// Checks the header of a record and returns the encoded message behind it.
pub(crate) fn check_record(bytes: &[u8]) -> Result<&[u8], RecordError> {
    let (header, payload) = bytes.split_at_checked(HEADER_BYTES).ok_or(RecordError::Truncated)?;
    match header {
        [FORMAT, checksum @ ..] if checksum == xxh3_64(payload).to_le_bytes() => Ok(payload),
        [FORMAT, ..] => Err(RecordError::ChecksumMismatch),
        [format, ..] => Err(RecordError::UnknownFormat(*format)),
        [] => Err(RecordError::Truncated),
    }
}

/// Encodes a ledger record.
pub fn encode_shard(record: &ShardRecord) -> Vec<u8> {
    encode_record(&messages::ShardRecordMessage::from(record))
}

/// Decodes a ledger record.
pub fn decode_shard(bytes: &[u8]) -> Result<ShardRecord, RecordError> {
    Ok(messages::ShardRecordMessage::decode(check_record(bytes)?)?.try_into()?)
}

/// Encodes an environment record.
pub fn encode_environment(record: &EnvironmentRecord) -> Vec<u8> {
    encode_record(&messages::EnvironmentRecordMessage::from(record))
}

/// Decodes an environment record.
pub fn decode_environment(bytes: &[u8]) -> Result<EnvironmentRecord, RecordError> {
    Ok(messages::EnvironmentRecordMessage::decode(check_record(bytes)?)?.try_into()?)
}

/// Encodes an ownership record.
pub fn encode_ownership(record: &OwnershipRecord) -> Vec<u8> {
    encode_record(&OwnershipRecordMessage::from(record))
}

/// Decodes an ownership record.
pub fn decode_ownership(bytes: &[u8]) -> Result<OwnershipRecord, RecordError> {
    Ok(OwnershipRecordMessage::decode(check_record(bytes)?)?.try_into()?)
}

/// Returns the number and the hash of the batches that an instance appends next, in the form that recorded traces use.
///
/// A replay of the trace compares it with its own batches. Without any batch, the text is `0`.
pub fn batches_digest(batches: impl Iterator<Item = Batch>) -> String {
    let encoded: Vec<Vec<u8>> = batches.map(|batch| encode_shard(&ShardRecord::Batch(batch))).collect();
    match encoded.len() {
        0 => "0".to_owned(),
        count => format!("{count} {:x}", xxh3_64(&encoded.concat())),
    }
}
