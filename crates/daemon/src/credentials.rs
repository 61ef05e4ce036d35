//! Authentication of callers and operators.

use std::sync::Arc;
use std::time::Duration;

use coltsfootpick_core::environments::Caller;
use coltsfootpick_core::names::BudgetKey;
use coltsfootpick_core::refusal::{Code, Refusal};
use http::{HeaderMap, header};

use crate::instance::Instance;
use crate::settings::Operator;

/// `Retry-After` while the environments have not been read.
const UNREAD_RETRY: Duration = Duration::from_secs(1);

/// Authenticated caller with the budget that pays for its requests.
#[derive(Clone, Debug)]
pub struct Payer {
    /// Caller as defined in the document in force.
    pub caller: Caller,
    /// Budget of the caller.
    pub budget: BudgetKey,
}

/// Reads `Authorization: Bearer ENVIRONMENT:ACCOUNT:KEY`.
pub fn authenticate_caller(instance: &Instance, headers: &HeaderMap) -> Result<Payer, Refusal> {
    let refusal = || Refusal::not_run(Code::Unauthorized, "the credential is missing or not valid here");
    let token = bearer(headers).ok_or_else(refusal)?;
    let mut parts = token.splitn(3, ':');
    let (Some(environment), Some(account), Some(key)) = (parts.next(), parts.next(), parts.next()) else {
        return Err(refusal());
    };
    let environments = Arc::clone(&instance.board.environments.read());
    let caller = match environments.authenticate(environment, account, key) {
        Some(caller) => caller,
        None if !instance.are_environments_read() => return Err(environments_unread()),
        None => return Err(refusal()),
    };
    let budget = BudgetKey { environment: environment.into(), stage: caller.account.stage, account: account.into() };
    Ok(Payer { caller, budget })
}

/// Builds the refusal for an instance that cannot check credentials yet.
fn environments_unread() -> Refusal {
    let refusal = Refusal::not_run(Code::LogUnavailable, "the environments have not been read yet");
    refusal.retry_after(UNREAD_RETRY)
}

/// Reads `Authorization: Bearer OPERATOR:KEY`.
pub fn authenticate_operator<'a>(instance: &'a Instance, headers: &HeaderMap) -> Result<&'a Operator, Refusal> {
    let refusal = || Refusal::not_run(Code::Unauthorized, "the operator's credential is missing or not valid");
    let (name, key) = bearer(headers).and_then(|token| token.split_once(':')).ok_or_else(refusal)?;
    let operators = &instance.settings.operator_keys;
    operators.iter().find(|operator| *operator.name == *name && operator.key.matches(key)).ok_or_else(refusal)
}

fn bearer(headers: &HeaderMap) -> Option<&str> {
    headers.get(header::AUTHORIZATION)?.to_str().ok()?.strip_prefix("Bearer ")
}
