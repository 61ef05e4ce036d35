//! Messages with which instances lend credit to each other, and the record that says where an instance listens.

use coltsfootpick_core::loans::LoanSettlement;
use coltsfootpick_core::names::ClientAccountName;
use coltsfootpick_core::units::Tokens;
use prost::Message;

use crate::ceilings::StoredSuspectMessage;

/// Record of an instance's address in the store; only the newest record of each instance name counts.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct InstanceMessage {
    /// `IP:PORT` where the instance listens for other instances.
    #[prost(string, tag = "1")]
    pub address: String,
    /// Name under which the current run of the instance holds credit.
    #[prost(string, tag = "2")]
    pub holder: String,
    /// Availability zone of the instance.
    #[prost(string, tag = "3")]
    pub zone: String,
    /// Share of a processor core that the instance may use, in thousandths; 0 if unknown.
    #[prost(uint32, tag = "4")]
    pub capacity: u32,
    /// `IP:PORT` where the instance takes forwarded requests; empty if it takes none.
    #[prost(string, tag = "5")]
    pub forwards: String,
    /// `IP:PORT` where the instance takes part in the exchange of loads as a collector; empty if it takes no part.
    #[prost(string, tag = "6")]
    pub loads: String,
}

/// What a borrower used and returns of the receiver's loans for one account.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct LoanSettlementMessage {
    /// Name of the client account.
    #[prost(string, tag = "1")]
    pub account: String,
    /// Tokens used.
    #[prost(uint64, tag = "2")]
    pub used: u64,
    /// Tokens returned unused.
    #[prost(uint64, tag = "3")]
    pub returned: u64,
}

impl From<&LoanSettlement> for LoanSettlementMessage {
    fn from(settlement: &LoanSettlement) -> Self {
        let LoanSettlement { account, used, returned } = settlement;
        Self { account: account.to_string(), used: used.0, returned: returned.0 }
    }
}

impl From<LoanSettlementMessage> for LoanSettlement {
    fn from(message: LoanSettlementMessage) -> Self {
        Self {
            account: ClientAccountName::from(message.account),
            used: Tokens(message.used),
            returned: Tokens(message.returned),
        }
    }
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
    /// Number of the batch in `settlements`; 0 when there is none.
    #[prost(uint64, tag = "7")]
    pub settlement_number: u64,
    /// Settlements of earlier loans, which take effect once for each number.
    #[prost(message, repeated, tag = "8")]
    pub settlements: Vec<LoanSettlementMessage>,
    /// Requests suspected of crashing backend servers, as far as the receiver may not know them.
    #[prost(message, repeated, tag = "9")]
    pub suspects: Vec<StoredSuspectMessage>,
    /// Version of the document in force at the borrower.
    #[prost(uint64, tag = "10")]
    pub document_version: u64,
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
    /// True when the known use of all holders leaves fewer tokens than [`LoanRequestMessage::least`].
    #[prost(bool, tag = "6")]
    pub exhausted: bool,
    /// Requests suspected of crashing backend servers, as far as the borrower may not know them.
    #[prost(message, repeated, tag = "7")]
    pub suspects: Vec<StoredSuspectMessage>,
}
