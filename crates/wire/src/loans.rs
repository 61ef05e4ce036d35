//! Messages with which instances lend credit to each other, and the record that says where an instance listens.

use prost::Message;

/// Record of an instance's address in the store; only the newest record of each instance name counts.
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
    /// Id of the request, unique within the borrower's run.
    #[prost(uint64, tag = "1")]
    pub request_id: u64,
    /// Name under which the current run of the borrower holds credit.
    #[prost(string, tag = "2")]
    pub holder: String,
    /// Name of the client account.
    #[prost(string, tag = "3")]
    pub account: String,
    /// Smallest loan that the borrower can use, in tokens.
    #[prost(uint64, tag = "4")]
    pub least: u64,
    /// Largest loan that the borrower wants, in tokens.
    #[prost(uint64, tag = "5")]
    pub most: u64,
    /// Ids of the borrower's earlier requests that got no response; the lender takes back its loans for them.
    #[prost(uint64, repeated, tag = "6")]
    pub cancelled: Vec<u64>,
}

/// Response to a loan request.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct LoanMessage {
    /// Id of the request.
    #[prost(uint64, tag = "1")]
    pub request_id: u64,
    /// Name of the client account.
    #[prost(string, tag = "2")]
    pub account: String,
    /// Tokens lent; 0 when the lender's headroom is below [`LoanRequestMessage::least`].
    #[prost(uint64, tag = "3")]
    pub amount: u64,
    /// Headroom of the lender after the loan, in tokens.
    #[prost(uint64, tag = "4")]
    pub headroom: u64,
    /// Time of day at the lender, in milliseconds since 1970.
    #[prost(uint64, tag = "5")]
    pub timestamp: u64,
}
