//! Environment document: accounts, services and grant sizes of one market, parsed and checked as a whole.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;

use crate::ini::{self, Fault, Section, fault};
use crate::models::WantedModel;
use crate::names::{ClientAccountName, EnvironmentName, ServiceName, Stage, is_valid_name};
use crate::sizing::GrantSizing;
use crate::units::Tokens;

/// Largest accepted document, in bytes.
pub const DOCUMENT_MAX_BYTES: usize = 1 << 20;

const KEY_HASH_BYTES: usize = 32;
const NAME_RULE: &str = "1 to 64 letters, digits, '-', '_' or '.'";

/// SHA-256 hash of a caller's or an operator's key; the key itself is never stored.
#[derive(Clone, Debug, PartialEq, Eq, derive_more::Display)]
#[display("{}", hex::encode(_0))]
pub struct KeyHash([u8; KEY_HASH_BYTES]);

impl KeyHash {
    /// Hashes a key.
    pub fn of(key: &str) -> Self {
        Self(Sha256::digest(key.as_bytes()).into())
    }

    /// Parses 64 hexadecimal digits.
    pub fn from_hex(text: &str) -> Option<Self> {
        let mut bytes = [0; KEY_HASH_BYTES];
        hex::decode_to_slice(text, &mut bytes).ok()?;
        Some(Self(bytes))
    }

    /// Compares in constant time, so that the response time reveals nothing about the key.
    pub fn matches(&self, key: &str) -> bool {
        self.0.ct_eq(&Self::of(key).0).into()
    }
}

/// Client account in an environment document.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClientAccount {
    /// Name within the environment.
    pub name: ClientAccountName,
    /// Stage that the account and its budget belong to.
    pub stage: Stage,
    /// Hash of the account's key.
    pub key: KeyHash,
}

/// Queueing class of a service; background requests wait longer but still make progress.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, derive_more::Display)]
#[display(rename_all = "lowercase")]
pub enum QueueClass {
    /// Requests whose caller waits for the answer.
    Prompt,
    /// Requests that may wait but must finish.
    Background,
}

/// Kind of a service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ServiceKind {
    /// Model engine, which is billed by tokens used.
    Engine {
        /// Maximum number of tokens that one request may generate.
        max_output: Tokens,
        /// Model that the service's servers should load; without one, the fleet sends no orders.
        wanted: Option<WantedModel>,
    },
    /// Plain service, which is billed by calls.
    Plain {
        /// Price of one call.
        price: Tokens,
        /// Paths whose calls may be repeated.
        idempotent: BTreeSet<String>,
        /// Path that returns the status of an earlier call by its key, if the application has one.
        status: Option<String>,
    },
}

/// Service that callers can request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Service {
    /// Kind of the service, with the settings of that kind.
    pub kind: ServiceKind,
    /// Queueing class of its requests.
    pub class: QueueClass,
}

/// Checked document of one environment.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Document {
    /// Environment that the document describes.
    pub environment: EnvironmentName,
    /// Settings by which grants are sized.
    pub sizing: GrantSizing,
    /// Client accounts by name.
    pub accounts: BTreeMap<ClientAccountName, ClientAccount>,
    /// Services by name.
    pub services: BTreeMap<ServiceName, Service>,
    /// Text that the document was parsed from.
    pub text: Arc<str>,
}

impl Document {
    /// Parses and checks a document.
    ///
    /// # Errors
    /// All faults of the text, so that an operator can correct them at once.
    pub fn parse(text: &str) -> Result<Self, Vec<Fault>> {
        if text.len() > DOCUMENT_MAX_BYTES {
            let found = format!("{} bytes", text.len());
            return Err(vec![fault(0, "", "", &found, "at most 1048576 bytes")]);
        }
        let (sections, mut faults) = ini::parse(text);
        let mut draft = Draft::default();
        for section in sections {
            draft.read(section, &mut faults);
        }
        draft.check(&mut faults);
        match draft.environment {
            Some(environment) if faults.is_empty() => Ok(Self {
                environment,
                sizing: draft.sizing,
                accounts: draft.accounts,
                services: draft.services,
                text: Arc::from(text),
            }),
            _ => Err(faults),
        }
    }

    /// Account named `account`, or `None` when it is not listed or `key` is not its key.
    pub fn authenticate(&self, account: &str, key: &str) -> Option<&ClientAccount> {
        self.accounts.get(&ClientAccountName::new(account)).filter(|listed| listed.key.matches(key))
    }
}

/// Values read from a document so far.
#[derive(Default)]
struct Draft {
    environment: Option<EnvironmentName>,
    sizing: GrantSizing,
    accounts: BTreeMap<ClientAccountName, ClientAccount>,
    services: BTreeMap<ServiceName, Service>,
}

impl Draft {
    fn read(&mut self, mut section: Section, faults: &mut Vec<Fault>) {
        match section.kind.as_str() {
            "environment" => self.read_environment(&mut section),
            "account" => self.read_account(&mut section),
            "service" => self.read_service(&mut section),
            _ => {
                let title = section.title();
                let allowed = "[environment NAME], [account NAME] or [service NAME]";
                return faults.push(fault(section.line, &title, "", "an unknown section", allowed));
            }
        }
        section.finish(faults);
    }

    fn read_environment(&mut self, section: &mut Section) {
        let default = GrantSizing::default();
        let millis = u64::try_from(default.horizon.as_millis()).unwrap_or(u64::MAX);
        self.sizing.horizon = section.millis("grant-horizon-ms", 100..=14_400_000, millis);
        self.sizing.share_percent = section.number("grant-share-percent", 1..=100, default.share_percent);
        let millis = u64::try_from(default.settle_delay.as_millis()).unwrap_or(u64::MAX);
        self.sizing.settle_delay = section.millis("settle-delay-ms", 0..=60_000, millis);
        match section.name.clone() {
            _ if self.environment.is_some() => section.add_fault("", "a second environment", "one [environment NAME]"),
            name if is_valid_name(&name) => self.environment = Some(EnvironmentName::from(name)),
            name => section.add_fault("", &name, NAME_RULE),
        }
    }

    fn read_account(&mut self, section: &mut Section) {
        let stage = match section.text("stage").as_deref() {
            None | Some("production") => Stage::Production,
            Some("trial") => Stage::Trial,
            Some(other) => {
                section.add_fault("stage", other, "trial or production");
                Stage::Trial
            }
        };
        let allowed = "64 hexadecimal digits of a SHA-256";
        let text = section.required("key-sha256", allowed);
        let key = KeyHash::from_hex(&text);
        if key.is_none() && !text.is_empty() {
            section.add_fault("key-sha256", "something else", allowed);
        }
        let Some(name) = checked_name(section, |name| self.accounts.contains_key(&ClientAccountName::new(name))) else {
            return;
        };
        let name = ClientAccountName::from(name);
        if let Some(key) = key {
            self.accounts.insert(name.clone(), ClientAccount { name, stage, key });
        }
    }

    fn read_service(&mut self, section: &mut Section) {
        let class = match section.text("priority").as_deref() {
            None | Some("prompt") => QueueClass::Prompt,
            Some("background") => QueueClass::Background,
            Some(other) => {
                section.add_fault("priority", other, "prompt or background");
                QueueClass::Prompt
            }
        };
        let kind = match section.required("kind", "engine or plain").as_str() {
            "engine" => {
                let max_output = Tokens(section.number("output-tokens", 1..=1_000_000, 1_024));
                Some(ServiceKind::Engine { max_output, wanted: read_wanted(section) })
            }
            "plain" => Some(ServiceKind::Plain {
                price: Tokens(section.number("price-tokens", 0..=1_000_000_000, 0)),
                idempotent: section.list("idempotent").into_iter().collect(),
                status: section.text("status"),
            }),
            "" => None,
            other => {
                section.add_fault("kind", other, "engine or plain");
                None
            }
        };
        let name = checked_name(section, |name| self.services.contains_key(&ServiceName::new(name)));
        if let (Some(name), Some(kind)) = (name, kind) {
            self.services.insert(ServiceName::from(name), Service { kind, class });
        }
    }

    fn check(&self, faults: &mut Vec<Fault>) {
        if self.environment.is_none() {
            faults.push(fault(0, "environment", "", "nothing", "one [environment NAME]"));
        }
        if self.services.is_empty() {
            faults.push(fault(0, "service", "", "nothing", "one or more [service NAME]"));
        }
    }
}

/// Reads the model that the servers of an engine service should load, if the section names one.
fn read_wanted(section: &mut Section) -> Option<WantedModel> {
    let model = section.text("model");
    let version = section.text("version");
    let adapters = section.list("adapters");
    let replicas = u32::try_from(section.number("replicas", 1..=10_000, 1)).unwrap_or(1);
    for name in model.iter().chain(&version).chain(&adapters).filter(|name| !is_valid_name(name)) {
        section.add_fault("model", name, NAME_RULE);
    }
    match (model, version) {
        (Some(model), Some(version)) => Some(WantedModel {
            model: model.into(),
            version: version.into(),
            adapters: adapters.into_iter().map(Into::into).collect(),
            replicas,
        }),
        (None, None) if adapters.is_empty() => None,
        _ => {
            section.add_fault("model", "a part of it", "model and version together");
            None
        }
    }
}

/// Name in the section's title, or `None` with a fault when it is invalid or already used.
fn checked_name(section: &mut Section, is_used: impl Fn(&str) -> bool) -> Option<String> {
    match section.name.clone() {
        name if !is_valid_name(&name) => {
            section.add_fault("", &name, NAME_RULE);
            None
        }
        name if is_used(&name) => {
            section.add_fault("", &name, "each name once");
            None
        }
        name => Some(name),
    }
}
