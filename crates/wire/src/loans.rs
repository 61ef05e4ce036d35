//! Messages with which instances lend credit to each other, and the record that says where an instance listens.

use prost::Message;

/// Record of an instance in the store; only the newest record of each instance name counts.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct InstanceMessage {
    /// `IP:PORT` where the instance listens for other instances.
    #[prost(string, tag = "1")]
    pub address: String,
    /// Name under which the current run of the instance holds credit.
    #[prost(string, tag = "2")]
    pub holder: String,
}

/// Request for a loan out of the receiver's headroom.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct LoanRequestMessage {
    /// Number of the request, unique within the borrower's run.
    #[prost(uint64, tag = "1")]
    pub request_id: u64,
    /// Run of the borrower, under the name that holds its credit.
    #[prost(string, tag = "2")]
    pub holder: String,
    /// Client account.
    #[prost(string, tag = "3")]
    pub account: String,
    /// Smallest loan that the borrower can use, in tokens.
    #[prost(uint64, tag = "4")]
    pub least: u64,
    /// Largest loan that the borrower wants, in tokens.
    #[prost(uint64, tag = "5")]
    pub most: u64,
    /// Earlier requests of the borrower without an answer; the lender takes back what it lent for them.
    #[prost(uint64, repeated, tag = "6")]
    pub cancelled: Vec<u64>,
}

/// Answer to a loan request.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct LoanMessage {
    /// Number of the request.
    #[prost(uint64, tag = "1")]
    pub request_id: u64,
    /// Client account.
    #[prost(string, tag = "2")]
    pub account: String,
    /// Tokens lent; 0 when the lender has fewer than the request's least amount.
    #[prost(uint64, tag = "3")]
    pub amount: u64,
    /// Headroom of the lender after the loan, in tokens.
    #[prost(uint64, tag = "4")]
    pub headroom: u64,
    /// Time of day at the lender, in milliseconds since 1970.
    #[prost(uint64, tag = "5")]
    pub timestamp: u64,
}
