//! Keeps the catalog up to date: a few members of each zone read the store, and the others follow
//! them.
//!
//! Calls to the store cost money and are limited for the whole fleet, so they must not grow with
//! the number of members. A member reads the store itself for its first listing, if it is one of
//! the readers of its zone, and if none of them can be followed.

use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;

use admit::Change;
use log::{info, warn};
use metrics::counter;
use tokio::time::sleep;

use crate::adapter::{Batch, Record, Store, StoreError};
use crate::clock;
use crate::feed::{FeedError, FeedRequest, FeedResponse};
use crate::feed_client::FeedClient;
use crate::log_throttle::LogThrottle;
use crate::message::millis;
use crate::node::{Node, StoreContact};
use crate::position::Position;
use crate::record_log::LogDelta;
use crate::transfer::Progress;

/// Longest wait of one watch. A dead connection is detected after this time plus
/// `RESPONSE_TIMEOUT`, unless another member reports a newer revision first.
const WATCH_WAIT: Duration = Duration::from_millis(2500);
/// Pause after a response with changes, so that the changes that follow are read with one call.
/// Calls cost money, and each change wakes the watches of all readers. Changes may take seconds to
/// take effect.
const BATCH_PAUSE: Duration = Duration::from_millis(400);
/// Longest time for a response to begin, beyond the time for which the call itself waits, and for
/// which it may stall. A large response on a slow link takes longer as a whole.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(700);
/// Pause after a failed call. It doubles up to the maximum.
const MIN_RETRY_PAUSE: Duration = Duration::from_millis(50);
const MAX_RETRY_PAUSE: Duration = Duration::from_millis(400);
/// A reader whose revision stays behind that of another member for this long lists the store again.
/// The watches of all readers return within a few milliseconds of each other.
const MAX_REVISION_LAG: Duration = Duration::from_millis(300);
/// A follower whose revision stays behind for this long no longer follows its reader. Readers pass
/// on a change after `BATCH_PAUSE` at most.
const MAX_FEED_LAG: Duration = Duration::from_millis(800);
/// A reader that could not be followed is not followed for this long.
const AVOID_TIME: Duration = Duration::from_secs(2);
/// A reader whose calls to the store fail is asked again at this interval. Heartbeats tell meanwhile
/// which member takes its place.
const NOT_READER_PAUSE: Duration = Duration::from_millis(250);
/// A member that could follow no reader for this long reads the store itself.
const MAX_FOLLOW_FAILURE: Duration = Duration::from_secs(1);
/// Time between two failed calls to the store of a member that is not a reader. While the store is
/// down, its calls would otherwise grow with the fleet.
const NON_READER_RETRY_PAUSE: Duration = Duration::from_millis(1500);
/// A member whose calls to the store fail is the last choice as a reader for this long.
const STORE_FAILURE_MEMORY: Duration = Duration::from_secs(5);
/// After this many failed calls in a row, a member follows one that the store serves. A single
/// failure is usually a broken connection, after which the store itself is the fastest source.
const REFUSED_AFTER_FAILURES: u32 = 2;
/// Interval at which a follower checks that its reader is live.
const LIVENESS_CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Follows the store for as long as the process runs.
pub(crate) async fn follow<S: Store>(node: Rc<Node>, store: S) {
    let mut follower = Follower {
        node,
        store,
        feed: FeedClient::default(),
        watch_from: None,
        retry_pause: MIN_RETRY_PAUSE,
        failures: 0,
        last_failure: None,
        avoided: Vec::new(),
        follow_failing_since: None,
        needs_snapshot: false,
        next_own_call: Duration::ZERO,
        era_faults: LogThrottle::default(),
    };
    loop {
        match follower.choose_reader() {
            Some(reader) => follower.follow_reader(reader).await,
            None => follower.read_store().await,
        }
    }
}

struct Follower<S> {
    node: Rc<Node>,
    store: S,
    feed: FeedClient,
    /// Revision from which to watch the store; `None` if it has to be listed.
    watch_from: Option<u64>,
    retry_pause: Duration,
    /// Calls to the store that failed since the last one that succeeded.
    failures: u32,
    last_failure: Option<Duration>,
    /// Readers that are not followed, each until the given time.
    avoided: Vec<(Ipv4Addr, Duration)>,
    /// Time since which no reader could be followed.
    follow_failing_since: Option<Duration>,
    /// Whether the last difference did not fit the items here, so that a whole snapshot is needed.
    needs_snapshot: bool,
    /// Time before which this member does not call the store unless it is a reader.
    next_own_call: Duration,
    /// Eras, lower than that of an earlier response, that were logged.
    era_faults: LogThrottle<u64>,
}

impl<S: Store> Follower<S> {
    /// The member to follow; `None` if this member reads the store itself.
    fn choose_reader(&mut self) -> Option<Ipv4Addr> {
        let now = clock::now();
        self.avoided.retain(|&(_, until)| now < until);
        if self
            .last_failure
            .is_some_and(|at| now.saturating_sub(at) >= STORE_FAILURE_MEMORY)
        {
            self.last_failure = None;
            self.set_store_failed(false);
            // Others take this member for a reader again, so it tries the store.
            self.set_refused_by_store(false);
        }
        let reader = self.reader_to_follow(now);
        self.node.reads_store.set(reader.is_none());
        if reader.is_some() && !self.node.is_served_steadily(now) {
            self.lose_contact();
        }
        reader
    }

    fn reader_to_follow(&mut self, now: Duration) -> Option<Ipv4Addr> {
        if !self.node.catalog.borrow().is_ready() {
            return None;
        }
        let membership = self.node.membership.borrow();
        let first_choice = membership.store_reader(now, &[])?;
        let failing_since = self.follow_failing_since.unwrap_or(now);
        let has_waited = now.saturating_sub(failing_since) >= MAX_FOLLOW_FAILURE;
        let avoided: Vec<Ipv4Addr> = self.avoided.iter().map(|&(ip, _)| ip).collect();
        let usable = membership
            .store_reader(now, &avoided)
            .filter(|_| !has_waited);
        if usable.is_none() && now < self.next_own_call {
            return Some(first_choice);
        }
        usable
    }

    /// Waits once for changes from a reader.
    async fn follow_reader(&mut self, reader: Ipv4Addr) {
        // A watch that starts at a revision that was read elsewhere may miss changes.
        self.watch_from = None;
        let after = self.node.record_log.borrow().position();
        let address = SocketAddr::from((reader, self.node.settings.peer_port));
        let req = FeedRequest {
            after: after.revision,
            wait_ms: millis(WATCH_WAIT),
            era: after.era,
            accepts_difference: !self.needs_snapshot,
        };
        self.node
            .count_sent(reader, "feed_request", req.frame_len());
        let progress = self.feed.progress();
        let received = tokio::select! {
            received = self.feed.watch(address, &req, RESPONSE_TIMEOUT) => received,
            () = wait_until_behind(&self.node, MAX_FEED_LAG, &progress) => Err(FeedError::Stale),
            () = wait_until_silent(&self.node, reader) => Err(FeedError::Silent),
        };
        let Err(err) = received.and_then(|response| self.apply_response(&response)) else {
            self.follow_failing_since = None;
            self.needs_snapshot = false;
            return;
        };
        let now = clock::now();
        let reason = err.label();
        counter!("primrosechute_feed_errors_total", "side" => "client", "reason" => reason)
            .increment(1);
        if self.follow_failing_since.is_none() {
            info!("store: {reader} can't be followed: {reason}");
        }
        let failing_since = *self.follow_failing_since.get_or_insert(now);
        match err {
            FeedError::NotReader => sleep(NOT_READER_PAUSE).await,
            FeedError::Incomplete => self.needs_snapshot = true,
            // Other members know of changes that this zone does not get, so there is no time for
            // the other reader.
            FeedError::Stale => {
                self.follow_failing_since =
                    Some(failing_since.min(now.saturating_sub(MAX_FOLLOW_FAILURE)));
            }
            FeedError::Broken
            | FeedError::Timeout
            | FeedError::Malformed
            | FeedError::Silent
            | FeedError::NoMemory => {
                self.avoided.push((reader, now + AVOID_TIME));
                // The other reader is tried at once, but not again and again.
                if self.avoided.len() > 1 {
                    sleep(MIN_RETRY_PAUSE).await;
                }
            }
        }
    }

    fn apply_response(&self, response: &FeedResponse) -> Result<(), FeedError> {
        let now = clock::now();
        // A member that fails to read the store can't tell whether the store is away or the member
        // itself is cut off.
        if response.is_reader {
            self.take_over_store_failure(now, response.failure_age_ms);
        }
        match response.to_delta() {
            LogDelta::None => self.apply_changes(Vec::new(), response.position()),
            LogDelta::Changes(records) => self.apply_changes(records, response.position()),
            LogDelta::Difference { newer, digest } => {
                let completed = self.node.record_log.borrow().complete(newer, &digest);
                let records = completed.ok_or(FeedError::Incomplete)?;
                if !self.apply_listing(&records, response.position()) {
                    return Err(FeedError::Malformed);
                }
            }
            LogDelta::Snapshot(records) => {
                if !self.apply_listing(&records, response.position()) {
                    return Err(FeedError::Malformed);
                }
            }
        }
        self.publish_position(response.published_position());
        if !response.is_reader {
            return Err(FeedError::NotReader);
        }
        self.record_success(now);
        Ok(())
    }

    /// Takes over what a reader knows of the last absence of the store. It knows more than this member
    /// does from others that it followed before.
    fn take_over_store_failure(&self, now: Duration, age_ms: Option<u32>) {
        let mut catalog = self.node.catalog.borrow_mut();
        catalog.dismiss_store_failure();
        if let Some(age) = age_ms {
            let at = now.saturating_sub(Duration::from_millis(age.into()));
            catalog.record_store_failure(at);
        }
    }

    /// Lists or watches the store once.
    async fn read_store(&mut self) {
        let read = match self.watch_from {
            None => self.list().await,
            Some(watch_from) => self.watch(watch_from).await,
        };
        match read {
            Ok(next) => {
                self.watch_from = next;
                if next.is_some() {
                    self.end_failure();
                }
            }
            Err(err) => {
                // A watch that starts at the revision of a broken one may not report the missed
                // changes until it expires.
                self.watch_from = None;
                self.handle_failure(&err).await;
            }
        }
    }

    async fn list(&mut self) -> Result<Option<u64>, StoreError> {
        let known_before = self.known_position();
        let batch = self.store.list(RESPONSE_TIMEOUT).await?;
        let Some(era) = self.usable_era(&batch, known_before.era) else {
            return Ok(None);
        };
        // A listing of the store is as new as the store, so it replaces whatever other members
        // passed on.
        let listed = Position::new(era, batch.watch_from);
        let log_position = self.node.record_log.borrow().position();
        if era > log_position.era {
            self.lose_contact();
        }
        self.record_contact();
        self.apply_listing(&batch.records, listed.max(log_position));
        // The listing is newer than the positions that other members had reported before it.
        let newest = Position::new(era, batch.newest_revision());
        self.publish_position(newest.max(known_before));
        Ok(Some(batch.watch_from))
    }

    /// Newest position that this member or another live one knows.
    fn known_position(&self) -> Position {
        let membership = self.node.membership.borrow();
        let newest = membership.newest_position(clock::now());
        newest.max(membership.local().position)
    }

    /// Era to which a response belongs, given the era that was known when it was requested; `None`
    /// if a later era has become known since, so that the response is out of date.
    fn usable_era(&mut self, batch: &Batch, known_before: u64) -> Option<u64> {
        let stated = batch.era.unwrap_or(known_before);
        if stated < known_before {
            counter!("primrosechute_store_era_faults_total", "reason" => "fell").increment(1);
            if self.era_faults.allow(clock::now(), stated) {
                warn!(
                    "store: a response states era {stated} after {known_before}, which is ignored"
                );
            }
        }
        let era = stated.max(known_before);
        (era >= self.known_position().era).then_some(era)
    }

    /// Watches once. Returns `None` if the store has to be listed again.
    async fn watch(&mut self, watch_from: u64) -> Result<Option<u64>, StoreError> {
        let log_position = self.node.record_log.borrow().position();
        let progress = self.store.progress();
        let batch = tokio::select! {
            batch = self.store.watch(watch_from, WATCH_WAIT, RESPONSE_TIMEOUT) => batch?,
            () = wait_until_behind(&self.node, MAX_REVISION_LAG, &progress) => {
                info!("store: another member has seen a newer revision, listing again");
                return Ok(None);
            }
        };
        if self.usable_era(&batch, log_position.era) != Some(log_position.era) {
            info!("store: it was restored from a copy, listing again");
            return Ok(None);
        }
        self.record_contact();
        let newest = Position::new(log_position.era, batch.newest_revision());
        let Batch {
            records,
            watch_from,
            ..
        } = batch;
        if !records.is_empty() {
            self.apply_changes(records, Position::new(log_position.era, watch_from));
            self.publish_position(newest);
            sleep(BATCH_PAUSE).await;
        }
        Ok(Some(watch_from))
    }

    /// Records a call that the store answered, before its changes are applied.
    fn record_contact(&self) {
        let now = clock::now();
        let before = self.node.store_contact.get();
        let has_others_failed = || {
            let membership = self.node.membership.borrow();
            membership.may_store_have_been_away(now)
        };
        if before.is_none() && (self.failures > 0 || has_others_failed()) {
            self.node.catalog.borrow_mut().record_store_return(now);
        }
        let first = before.map_or(now, |contact| contact.first);
        let contact = StoreContact { first, last: now };
        self.node.store_contact.set(Some(contact));
    }

    /// Records that this member can't tell whether the store has been away.
    fn lose_contact(&self) {
        self.node.store_contact.set(None);
        let mut membership = self.node.membership.borrow_mut();
        membership.update_local(|me| me.store_steady = false);
    }

    fn end_failure(&mut self) {
        if std::mem::take(&mut self.failures) > 0 {
            info!("store: reachable again");
        }
        self.set_refused_by_store(false);
        self.retry_pause = MIN_RETRY_PAUSE;
        self.last_failure = None;
        self.follow_failing_since = None;
        self.set_store_failed(false);
        self.record_success(clock::now());
    }

    async fn handle_failure(&mut self, err: &StoreError) {
        counter!("primrosechute_store_errors_total", "reason" => label(err)).increment(1);
        match err {
            StoreError::Compacted => {
                info!("store: the watched revision is no longer kept, listing again");
                return;
            }
            StoreError::Restored => {
                info!("store: it was restored from a copy, listing again");
                self.lose_contact();
                return;
            }
            _ => {}
        }
        if self.failures == 0 {
            warn!("store: no answer: {err:?}");
        }
        self.failures = self.failures.saturating_add(1);
        self.set_refused_by_store(self.failures >= REFUSED_AFTER_FAILURES);
        let now = clock::now();
        self.last_failure = Some(now);
        self.lose_contact();
        self.next_own_call = now + NON_READER_RETRY_PAUSE;
        self.node.catalog.borrow_mut().record_store_failure(now);
        self.set_store_failed(true);
        self.set_store_reachable(false);
        sleep(self.retry_pause).await;
        self.retry_pause = (self.retry_pause * 2).min(MAX_RETRY_PAUSE);
    }

    /// Applies a complete list of items. Returns false if it is older than what is known.
    fn apply_listing(&self, records: &[Record], position: Position) -> bool {
        let mut log = self.node.record_log.borrow_mut();
        let before = log.position();
        let is_restored = !log.is_empty() && position.era > before.era;
        let Some(new_records) = log.apply_listing(records, position) else {
            return false;
        };
        drop(log);
        if is_restored {
            counter!("primrosechute_store_restores_total").increment(1);
            warn!(
                "store: restored from a copy, era {} at revision {} after era {} at revision {}",
                position.era, position.revision, before.era, before.revision
            );
        }
        let changes = self.decode(&new_records);
        let now = clock::now();
        if !is_restored {
            self.node.dismiss_connection_failures(now);
        }
        let mut catalog = self.node.catalog.borrow_mut();
        if is_restored {
            catalog.apply_restored_listing(now, changes);
        } else {
            catalog.apply_listing(now, changes);
        }
        drop(catalog);
        self.announce_changes();
        true
    }

    fn apply_changes(&self, records: Vec<Record>, position: Position) {
        let mut log = self.node.record_log.borrow_mut();
        let applied = log.apply_changes(records, position);
        drop(log);
        if applied.is_empty() {
            return;
        }
        let changes = self.decode(&applied);
        let now = clock::now();
        self.node.dismiss_connection_failures(now);
        self.node.catalog.borrow_mut().apply_changes(now, changes);
        self.announce_changes();
    }

    fn announce_changes(&self) {
        self.node.apply_catalog_to_owner();
        self.node.log_changed.send_replace(());
    }

    fn decode(&self, records: &[Record]) -> Vec<Change> {
        let changes: Vec<Change> = records
            .iter()
            .filter_map(|record| self.store.decode(record))
            .collect();
        log_changes(&changes, self.node.catalog.borrow().version());
        changes
    }

    fn record_success(&self, now: Duration) {
        self.node.last_store_success.set(now);
        self.set_store_reachable(true);
    }

    fn set_refused_by_store(&self, is_refused: bool) {
        let mut membership = self.node.membership.borrow_mut();
        membership.set_refused_by_store(is_refused);
    }

    fn set_store_reachable(&self, reachable: bool) {
        let mut membership = self.node.membership.borrow_mut();
        membership.update_local(|me| me.store_reachable = reachable);
    }

    fn publish_position(&self, position: Position) {
        let mut membership = self.node.membership.borrow_mut();
        membership.update_local(|me| me.position = me.position.max(position));
    }

    fn set_store_failed(&self, failed: bool) {
        let mut membership = self.node.membership.borrow_mut();
        if membership.local().store_failed == failed {
            return;
        }
        membership.update_local(|me| me.store_failed = failed);
        drop(membership);
        // Followers look for another reader.
        self.node.log_changed.send_replace(());
    }
}

/// Waits until this member has been behind another one for `max_lag` without a transfer in progress,
/// which may bring what it lacks.
async fn wait_until_behind(node: &Rc<Node>, max_lag: Duration, progress: &Progress) {
    let is_behind = || {
        let membership = node.membership.borrow();
        membership.newest_position(clock::now()) > membership.local().position
    };
    loop {
        node.relist_requested.notified().await;
        while is_behind() {
            let received = progress.total();
            sleep(max_lag).await;
            if is_behind() && progress.has_stalled_since(received) {
                return;
            }
        }
    }
}

/// Waits until no heartbeats of a member arrive any more.
async fn wait_until_silent(node: &Rc<Node>, ip: Ipv4Addr) {
    while node.membership.borrow().is_live(clock::now(), ip) {
        sleep(LIVENESS_CHECK_INTERVAL).await;
    }
}

/// Logs changes, given the version of the configuration that was in force before.
fn log_changes(changes: &[Change], version: u64) {
    for change in changes {
        match change {
            Change::Config(cfg) if cfg.version < version => info!(
                "config: version {} is older than {version}, which stays in force",
                cfg.version
            ),
            Change::Config(cfg) => info!("config: version {}", cfg.version),
            Change::EvacuateZone(zone) => info!("config: zone {zone} is evacuated"),
            Change::RestoreZone(zone) => info!("config: zone {zone} is no longer evacuated"),
            Change::Target(target) => info!(
                "target: {} at {} in {}, pool {}, draining {}, cold for {:?}",
                target.id, target.address, target.zone, target.pool, target.draining, target.cold
            ),
            Change::TargetRemoved(id) => info!("target: the entry of {id} is gone"),
        }
    }
}

fn label(err: &StoreError) -> &'static str {
    match err {
        StoreError::Unreachable(_) => "unreachable",
        StoreError::Timeout => "timeout",
        StoreError::Refused(_) => "refused",
        StoreError::Compacted => "forgotten",
        StoreError::Malformed(_) => "malformed",
        StoreError::Restored => "restored",
    }
}
