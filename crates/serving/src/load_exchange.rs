//! Exchange of loads between instances: when it starts, the report to a collector, and the choice of the collector.
//!
//! See `docs/design/FLEET-LOAD.md`.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use coltsfootpick_core::fleet_load::{SILENCE_MAX, UPDATE_INTERVAL};
use coltsfootpick_core::lenders::SHARED_FLEET_MAX;
use coltsfootpick_core::load_update::UpdateSender;
use derive_more::{Display, FromStr};
use tokio::net::TcpListener;
use tokio::time::{Instant, MissedTickBehavior};
use tokio_util::sync::CancellationToken;

use crate::blackboard::Blackboard;
use crate::load_collecting::LoadCollecting;
use crate::load_link::{ANSWER_TIMEOUT, LoadLink};
use crate::log_event;
use crate::log_events::LogEvent;

/// Collectors of a zone that are tried in turn.
pub const CANDIDATES_MAX: usize = 4;

/// Bytes per second that an instance sends to its collector, network headers included.
pub const UP_BYTES_PER_SECOND: f64 = 2_500.0;

/// Interval at which the size of the fleet and the order of collectors are checked.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Pause after a failed attempt to listen, and after all collectors failed.
const RETRY_PAUSE: Duration = Duration::from_millis(500);

/// Time after which an instance that reports to a later collector tries the first again; doubles each time up to
/// [`RETURN_MAX`], since a dead instance stays in the fleet list.
const RETURN_MIN: Duration = Duration::from_secs(15);

/// Longest time after which the first collector is tried again.
const RETURN_MAX: Duration = Duration::from_secs(240);

/// Whether instances exchange loads.
#[derive(Clone, Copy, Debug, Default, Display, FromStr, PartialEq, Eq)]
#[display(rename_all = "lowercase")]
#[from_str(rename_all = "lowercase")]
pub enum LoadSharing {
    /// Always.
    On,
    /// Never.
    Off,
    /// In fleets of more than ten instances.
    #[default]
    Auto,
}

/// Exchange of loads of one instance.
#[derive(Debug)]
pub struct LoadExchange {
    board: Arc<Blackboard>,
    collecting: Arc<LoadCollecting>,
    sharing: LoadSharing,
    stop: CancellationToken,
}

impl LoadExchange {
    /// Creates the exchange of the instance of `board`, which ends when `stop` is cancelled.
    pub fn new(board: Arc<Blackboard>, sharing: LoadSharing, stop: CancellationToken) -> Arc<Self> {
        let collecting = LoadCollecting::new(Arc::clone(&board), stop.clone());
        Arc::new(Self { board, collecting, sharing, stop })
    }

    /// Collector part of the exchange.
    pub const fn collecting(&self) -> &Arc<LoadCollecting> {
        &self.collecting
    }

    /// Waits until loads are to be exchanged, and then listens at `address` and exchanges them.
    pub async fn run(self: Arc<Self>, address: SocketAddr) {
        if !self.wait_until_due().await {
            return;
        }
        let collecting = Arc::clone(&self.collecting);
        let stop = self.stop.clone();
        tokio::spawn(stop.run_until_cancelled_owned(async move {
            let mut is_logged = false;
            loop {
                match TcpListener::bind(address).await {
                    Ok(listener) => return collecting.accept(listener).await,
                    // Without a listener the instance still reports; the others choose the next collector.
                    Err(error) if !std::mem::replace(&mut is_logged, true) => {
                        log_event!(LogEvent::LoadLinkLost, "listen={address} reason={:?}", error.to_string());
                    }
                    Err(_) => {}
                }
                tokio::time::sleep(RETRY_PAUSE).await;
            }
        }));
        self.exchange().await;
    }

    /// Exchanges loads without a condition, with a listener that is already bound.
    pub async fn run_with(self: Arc<Self>, listener: TcpListener) {
        let stop = self.stop.clone();
        tokio::spawn(stop.run_until_cancelled_owned(Arc::clone(&self.collecting).accept(listener)));
        self.exchange().await;
    }

    async fn exchange(self: Arc<Self>) {
        let (updates, links) = (Arc::clone(&self.collecting), Arc::clone(&self.collecting));
        tokio::spawn(self.stop.clone().run_until_cancelled_owned(updates.send_updates()));
        tokio::spawn(self.stop.clone().run_until_cancelled_owned(links.connect_collectors()));
        let stop = self.stop.clone();
        stop.run_until_cancelled(self.report()).await;
    }

    async fn wait_until_due(&self) -> bool {
        loop {
            match self.sharing {
                LoadSharing::Off => return false,
                LoadSharing::On if self.board.wait_for_fleet(Duration::ZERO).await => return true,
                LoadSharing::Auto if self.board.fleet_size() > SHARED_FLEET_MAX => return true,
                LoadSharing::On | LoadSharing::Auto => {}
            }
            if tokio::time::timeout(CHECK_INTERVAL, self.stop.cancelled()).await.is_ok() {
                return false;
            }
        }
    }

    /// Collectors of the own zone in the order in which they are tried.
    fn candidates(&self) -> Vec<Arc<str>> {
        self.collecting.candidates(&self.board.instance.location.zone)
    }

    /// Reports to the first collector that answers, for ever.
    async fn report(&self) {
        let mut return_after = RETURN_MIN;
        loop {
            for (rank, name) in self.candidates().iter().enumerate() {
                let back_at = (rank > 0).then(|| Instant::now() + return_after);
                let is_own = *name == self.board.instance.name;
                let reason = match is_own {
                    true => {
                        self.collecting.set_local(true);
                        log_event!(LogEvent::LoadCollectorChosen, "collector={name} rank={rank} local=true");
                        self.wait_for_change(rank, name, back_at).await;
                        self.collecting.set_local(false);
                        "the order changed".to_owned()
                    }
                    false => self.report_to(rank, name, back_at).await,
                };
                let is_over = back_at.is_some_and(|at| at <= Instant::now());
                if !is_own && !is_over {
                    log_event!(LogEvent::LoadLinkLost, "collector={name} rank={rank} reason={reason:?}");
                }
                if is_over {
                    return_after = (return_after * 2).min(RETURN_MAX);
                }
                if is_over || self.candidates().get(rank) != Some(name) {
                    break;
                }
                if rank == 0 {
                    return_after = RETURN_MIN;
                }
            }
            // Spreads the attempts of a zone whose collectors all failed.
            tokio::time::sleep(RETRY_PAUSE.mul_f64(rand::random::<f64>() / 2.0)).await;
        }
    }

    async fn wait_for_change(&self, rank: usize, name: &Arc<str>, back_at: Option<Instant>) {
        while self.candidates().get(rank) == Some(name) && back_at.is_none_or(|at| at > Instant::now()) {
            tokio::time::sleep(CHECK_INTERVAL.min(SILENCE_MAX)).await;
        }
    }

    /// Reports to the collector `name` until the link ends, another one comes before it, or `back_at`; returns the reason.
    async fn report_to(&self, rank: usize, name: &Arc<str>, back_at: Option<Instant>) -> String {
        let Some(address) = self.board.loads.address(name) else { return "no address".to_owned() };
        let mut link = match LoadLink::connect(address, &self.board, false).await {
            Ok(link) => link,
            Err(error) => return error.to_string(),
        };
        let mut sender = UpdateSender::new(UP_BYTES_PER_SECOND);
        let mut ticks = tokio::time::interval(UPDATE_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut checked_at = Instant::now();
        let mut silent_at = Instant::now() + ANSWER_TIMEOUT;
        let mut has_answer = false;
        loop {
            tokio::select! {
                // Frames first, since those that arrived while this instance was frozen are no silence.
                biased;
                update = link.receive() => {
                    let update = match update {
                        Ok(update) => update,
                        Err(error) => return error.to_string(),
                    };
                    let (mut view, now) = (self.board.loads.view.lock(), self.board.clock.now());
                    if !std::mem::replace(&mut has_answer, true) {
                        view.restart(now);
                        log_event!(LogEvent::LoadCollectorChosen, "collector={name} rank={rank} local=false");
                    }
                    view.apply(update, now);
                    silent_at = Instant::now() + SILENCE_MAX;
                }
                _ = ticks.tick() => {
                    if Instant::now() >= silent_at {
                        return "silence".to_owned();
                    }
                    if back_at.is_some_and(|at| at <= Instant::now()) {
                        return "the first collector is tried again".to_owned();
                    }
                    if checked_at.elapsed() >= CHECK_INTERVAL {
                        checked_at = Instant::now();
                        if self.candidates().get(rank) != Some(name) {
                            return "the order changed".to_owned();
                        }
                    }
                    if let Err(error) = self.send_own(&mut link, &mut sender).await {
                        return error.to_string();
                    }
                }
            }
        }
    }

    async fn send_own(
        &self,
        link: &mut LoadLink,
        sender: &mut UpdateSender,
    ) -> Result<(), crate::forward_link::LinkError> {
        let now = self.board.clock.now();
        if !sender.is_due(now) {
            return Ok(());
        }
        let table = self.board.loads.own.lock().table(now);
        let Some(update) = sender.next(&table, now) else { return Ok(()) };
        let bytes = link.send(&update).await?;
        sender.note_sent(bytes, now);
        Ok(())
    }
}
