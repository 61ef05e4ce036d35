//! Differences between two documents of one environment, for an operator to review before publishing the newer one.

use std::collections::BTreeMap;
use std::fmt::Display;

use crate::document::{Document, QueueClass, Service, ServiceKind};
use crate::names::ClientAccountName;

/// Difference in one account, service or setting.
#[derive(Clone, Debug, derive_more::Display, PartialEq, Eq)]
pub enum Difference {
    /// Item that only the new document contains.
    #[display("+ {_0}")]
    Added(String),
    /// Item that only the old document contains.
    #[display("- {_0}")]
    Removed(String),
    /// Item that both documents contain with different values.
    #[display("~ {_0}")]
    Changed(String),
}

/// Lists the differences from `old` to `new`.
pub fn differences(old: &Document, new: &Document) -> Vec<Difference> {
    let mut found = Vec::new();
    if old.sizing != new.sizing {
        found.push(Difference::Changed(format!("grants: {} -> {}", describe_sizing(old), describe_sizing(new))));
    }
    compare("account", &old.accounts, &new.accounts, |account| {
        format!("{}, key {}", account.stage, account.key.to_string().get(..8).unwrap_or_default())
    })
    .for_each(|difference| found.push(difference));
    compare("service", &old.services, &new.services, describe_service).for_each(|difference| found.push(difference));
    found
}

/// Accounts of the old document that the new one does not contain.
pub fn removed_accounts<'a>(old: &'a Document, new: &'a Document) -> impl Iterator<Item = &'a ClientAccountName> {
    old.accounts.keys().filter(|name| !new.accounts.contains_key(*name))
}

fn describe_sizing(document: &Document) -> String {
    let sizing = &document.sizing;
    format!("{} ms, {} %, {} ms", sizing.horizon.as_millis(), sizing.share_percent, sizing.settle_delay.as_millis())
}

fn describe_service(service: &Service) -> String {
    let kind = match &service.kind {
        ServiceKind::Engine { max_output, .. } => format!("engine, {max_output} tokens of output"),
        ServiceKind::Plain { price, idempotent, status } => {
            let paths: Vec<&str> = idempotent.iter().map(String::as_str).collect();
            let status = status.as_deref().unwrap_or("none");
            format!("plain, {price} tokens a call, idempotent {}, status {status}", paths.join(" "))
        }
    };
    match service.class {
        QueueClass::Prompt => kind,
        QueueClass::Background => format!("{kind}, background"),
    }
}

fn compare<'a, N: Ord + Display, T: PartialEq>(
    kind: &'a str,
    old: &'a BTreeMap<N, T>,
    new: &'a BTreeMap<N, T>,
    describe: impl Fn(&T) -> String + Copy + 'a,
) -> impl Iterator<Item = Difference> + 'a {
    let removed = old.iter().filter(|(name, _)| !new.contains_key(name));
    let removed = removed.map(move |(name, value)| Difference::Removed(format!("{kind} {name}: {}", describe(value))));
    let others = new.iter().filter_map(move |(name, value)| match old.get(name) {
        None => Some(Difference::Added(format!("{kind} {name}: {}", describe(value)))),
        Some(before) if before != value => {
            Some(Difference::Changed(format!("{kind} {name}: {} -> {}", describe(before), describe(value))))
        }
        Some(_) => None,
    });
    removed.chain(others)
}
