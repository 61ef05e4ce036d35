//! Names and identifiers, which are immutable and cheap to clone.

use std::sync::Arc;

use derive_more::{AsRef, Deref, Display, From};
use serde::{Deserialize, Serialize};

/// Declares a type for one kind of name, so that the compiler rejects a name of another kind.
macro_rules! name_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, AsRef, Deref, From, Serialize, Deserialize)]
        #[serde(transparent)]
        #[as_ref(str)]
        #[deref(forward)]
        pub struct $name(Arc<str>);

        impl $name {
            /// Copies `text` into a shared string.
            pub fn new(text: &str) -> Self {
                Self(Arc::from(text))
            }
        }

        impl From<&str> for $name {
            fn from(text: &str) -> Self {
                Self::new(text)
            }
        }

        impl From<String> for $name {
            fn from(text: String) -> Self {
                Self(Arc::from(text))
            }
        }
    };
}

name_type!(
    /// Name of an environment, which is one market with its own accounts and budgets.
    EnvironmentName
);
name_type!(
    /// Name of a client account within its environment.
    ClientAccountName
);
name_type!(
    /// Name of a service that callers request: a model or a plain service.
    ServiceName
);
name_type!(
    /// Name of a backend server.
    BackendServerName
);
name_type!(
    /// Version of the software that a backend server runs, an opaque text without an order.
    SoftwareVersion
);
name_type!(
    /// Name of an instance of the fleet.
    InstanceName
);
name_type!(
    /// Name of an availability zone.
    AvailabilityZoneName
);
name_type!(
    /// Name of a region.
    RegionName
);
name_type!(
    /// Name of a model that engines load from the weight store.
    ModelName
);
name_type!(
    /// Version of a model's weights.
    VersionName
);
name_type!(
    /// Name of an adapter of a model.
    AdapterName
);
name_type!(
    /// Identifier by which a repeated log record or bill is recognised.
    RecordId
);
name_type!(
    /// Key that a caller sends so that a repeated call runs at most once.
    IdempotencyKey
);

/// Longest valid name, in bytes.
pub const NAME_MAX_BYTES: usize = 64;

/// Whether `text` is a valid name in documents, settings and credentials.
pub fn is_valid_name(text: &str) -> bool {
    !text.is_empty()
        && text.len() <= NAME_MAX_BYTES
        && text.bytes().all(|b| b.is_ascii_alphanumeric() || b"-_.".contains(&b))
}

/// One run of an instance; a new number is drawn after a restart and after the run was closed.
#[derive(Clone, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[display("{instance}#{run:x}")]
pub struct Incarnation {
    /// Name of the instance.
    pub instance: InstanceName,
    /// Random number drawn for this run.
    pub run: u64,
}

/// Stage of an environment, to which each client account and its budget belong.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[display(rename_all = "lowercase")]
#[serde(rename_all = "lowercase")]
pub enum Stage {
    /// Stage of published documents, which serve trial accounts only.
    Trial,
    /// Stage of promoted documents, which serve production accounts.
    Production,
}

/// Identity of a prepaid budget.
#[derive(Clone, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[display("{environment}/{stage}/{account}")]
pub struct BudgetKey {
    /// Environment of the client account.
    pub environment: EnvironmentName,
    /// Stage of the client account; trial budgets are separate from production budgets.
    pub stage: Stage,
    /// Client account that paid for the budget.
    pub account: ClientAccountName,
}
