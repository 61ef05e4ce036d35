//! Messages between instances that pass credit on, and the record that tells where an instance listens.

use prost::Message;

/// Record of an instance in the store; the newest one of its name counts.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct InstanceMessage {
    /// `IP:PORT` where it listens for other instances.
    #[prost(string, tag = "1")]
    pub address: String,
    /// Name under which this run of it holds credit.
    #[prost(string, tag = "2")]
    pub holder: String,
}

/// Asks for room below the receiver's ceiling.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct AskMessage {
    /// Number of the ask, unique for the asker's run.
    #[prost(uint64, tag = "1")]
    pub ticket: u64,
    /// Asker's run.
    #[prost(string, tag = "2")]
    pub holder: String,
    /// Account.
    #[prost(string, tag = "3")]
    pub account: String,
    /// Tokens without which the loan is of no use.
    #[prost(uint64, tag = "4")]
    pub least: u64,
    /// Tokens that the asker would like.
    #[prost(uint64, tag = "5")]
    pub most: u64,
    /// Earlier asks of the asker that got no answer; what was lent for them is void.
    #[prost(uint64, repeated, tag = "6")]
    pub void: Vec<u64>,
}

/// Answers an ask.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct LoanMessage {
    /// Number of the ask.
    #[prost(uint64, tag = "1")]
    pub ticket: u64,
    /// Account.
    #[prost(string, tag = "2")]
    pub account: String,
    /// Tokens passed on; 0 when there were too few.
    #[prost(uint64, tag = "3")]
    pub amount: u64,
    /// Tokens that the giver has left.
    #[prost(uint64, tag = "4")]
    pub left: u64,
    /// Time of day at the giver, in milliseconds since 1970.
    #[prost(uint64, tag = "5")]
    pub clock: u64,
}
