//! Audit requested by an operator: reads every ledger stream from its first retained record.

use std::time::Duration;

use coltsfootpick_core::attempts::AttemptState;
use coltsfootpick_core::audit::Audit;
use coltsfootpick_core::record::AttemptOutcome;
use coltsfootpick_core::shard::ShardIndex;
use coltsfootpick_core::units::Offset;
use coltsfootpick_wire::envelope::decode_shard;
use coltsfootpick_wire::operators::AuditView;

use crate::instance::Instance;
use crate::platform::LogError;

/// Reads the ledger streams and lists what an operator should review.
pub async fn audit(instance: &Instance) -> Result<AuditView, LogError> {
    let mut view = AuditView::default();
    for index in 0..instance.settings.shards {
        let shard = ShardIndex(index);
        let (first, audit) = read_shard(instance, shard).await?;
        view.records += audit.records;
        view.skipped += audit.skipped;
        view.billed += audit.billed() as u64;
        view.trimmed |= first > Offset(0);
        let repeated = audit.repeated();
        view.repeated.extend(repeated.map(|(request, bills)| {
            format!("request {request} of {}: {} bills, {} charged once", bills.key, bills.count, bills.charged)
        }));
        view.notable.extend(audit.events.iter().map(ToString::to_string));
        add_replayed_state(instance, shard, &mut view);
    }
    Ok(view)
}

/// Audits the retained records of one shard; returns the offset of the first of them and the audit.
async fn read_shard(instance: &Instance, shard: ShardIndex) -> Result<(Offset, Audit), LogError> {
    let mut audit = Audit::default();
    let mut first = Offset(0);
    let mut next = first;
    loop {
        let read = instance.deps.log.read(shard.stream(), next, Duration::ZERO).await;
        let records = match read {
            Ok(records) => records,
            Err(LogError::Trimmed(first_retained)) if first_retained > next => {
                first = first_retained;
                next = first_retained;
                continue;
            }
            Err(error) => return Err(error),
        };
        let Some(last) = records.last() else {
            return Ok((first, audit));
        };
        next = last.offset.next();
        for record in &records {
            match decode_shard(&record.bytes) {
                Ok(decoded) => audit.apply(&decoded),
                Err(_) => audit.skip(),
            }
        }
    }
}

/// Adds overspent budgets and calls with an unknown end from the replayed state.
fn add_replayed_state(instance: &Instance, shard: ShardIndex, view: &mut AuditView) {
    let cell = instance.board.shards[shard.0 as usize].lock();
    let overspent = cell.state.ledger.budgets().filter(|(_, budget)| !budget.overspent.is_zero());
    view.overspent.extend(overspent.map(|(key, budget)| format!("{key}: {}", budget.overspent)));
    let unknown = cell.state.attempts.attempts().filter(|(_, attempt)| match &attempt.state {
        AttemptState::Claimed { owner } => cell.state.is_closed(owner),
        AttemptState::Ended { outcome } => *outcome == AttemptOutcome::Unknown,
        AttemptState::Renounced => false,
    });
    view.unknown.extend(unknown.map(|(attempt, _)| format!("{} {}", attempt.budget, attempt.key)));
}
