//! This daemon's view of the fleet: the VM list and the state of its peers.

use std::collections::{BTreeMap, HashMap};
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use crate::config::Config;
use crate::hash::first_ranked;
use crate::links::link_peers;
use crate::list::{Incarnation, Name, Vm, VmList, VmState};
use crate::peer::{Entry, HeartbeatInfo, HelloOutcome};

/// Added to times at which lists were read or confirmed, so that the age of a list may exceed
/// `now`.
pub(crate) const TIME_OFFSET: Duration = Duration::from_hours(365 * 24);

#[derive(Clone, Debug, Default)]
struct PeerState {
    incarnation: Option<Incarnation>,
    restarted: bool,
    last_heard: Option<Duration>,
    generation: u64,
    refused_at: Option<Duration>,
    ready: bool,
}

/// The newest VM list, the last known state of each peer, and the lease.
///
/// ```
/// use std::time::Duration;
/// use member::{Config, HeartbeatInfo, Incarnation, Lease, View, Vm, VmList, VmState};
///
/// let address = "127.0.0.1:7000".parse().unwrap();
/// let vm = |name: &str| Vm {
///     name: name.into(),
///     zone: "riga-a".into(),
///     state: VmState::Live,
///     entry: address,
///     peer: address,
/// };
/// let list = VmList { generation: 1, vms: vec![vm("vm-1"), vm("vm-2")] };
/// let mut view = View::new(Config::default(), "vm-1".into(), Incarnation(1));
/// let now = Duration::from_secs(60);
/// view.on_list(now, list, Duration::ZERO);
/// assert_eq!(view.lease(now), Lease::Held);
///
/// let heartbeat = HeartbeatInfo { generation: 1, age: Duration::ZERO, ready: true };
/// view.on_hello(&"vm-2".into(), Incarnation(2), address.ip());
/// view.on_heartbeat(now, &"vm-2".into(), heartbeat);
/// assert_eq!(view.entries(now).count(), 1, "this daemon isn't ready yet");
/// ```
#[derive(Clone, Debug)]
pub struct View {
    pub(crate) cfg: Config,
    name: Name,
    incarnation: Incarnation,
    pub(crate) list: Option<VmList>,
    row_index: HashMap<Name, usize>,
    live_by_zone: BTreeMap<Name, Vec<Name>>,
    pub(crate) link_peers: Vec<Name>,
    peer_states: HashMap<Name, PeerState>,
    departed: HashMap<Name, (Vm, Duration)>,
    /// Latest time at which the platform confirmed the list, with [`TIME_OFFSET`] added.
    pub(crate) list_read_at: Duration,
    /// Latest time at which all peers were reached and had the same list, with [`TIME_OFFSET`]
    /// added.
    pub(crate) all_reached_at: Duration,
    /// Highest generation that a peer reported.
    pub(crate) newest_generation: u64,
    pub(crate) unlisted_since: Option<Duration>,
    ready: bool,
    pub(crate) stale_since: Option<Duration>,
    pub(crate) last_pause: (Duration, Duration),
}

impl View {
    /// Creates a view without a list.
    #[must_use]
    pub fn new(cfg: Config, name: Name, incarnation: Incarnation) -> Self {
        Self {
            cfg,
            name,
            incarnation,
            list: None,
            row_index: HashMap::new(),
            live_by_zone: BTreeMap::new(),
            link_peers: Vec::new(),
            peer_states: HashMap::new(),
            departed: HashMap::new(),
            list_read_at: Duration::ZERO,
            all_reached_at: Duration::ZERO,
            newest_generation: 0,
            unlisted_since: None,
            ready: false,
            stale_since: None,
            last_pause: Default::default(),
        }
    }

    /// Processes a list read from the platform; `age` is the time since the request was sent.
    /// Returns whether the list was fresher than the current one. If so,
    /// [`Ownership::update`](crate::Ownership::update) must be called before any other decision.
    pub fn on_list(&mut self, now: Duration, list: VmList, age: Duration) -> bool {
        let read = (now + TIME_OFFSET).saturating_sub(age);
        let generation = self.generation();
        if self.list.is_some() && list.generation <= generation {
            if list.generation == generation {
                self.confirm_list(read);
            }
            return false;
        }
        self.replace_list(now, list);
        self.list_read_at = read;
        self.all_reached_at = Duration::ZERO;
        self.confirm_list(read);
        true
    }

    /// Processes a list that a peer relayed, with the age that the peer reported; otherwise like
    /// [`on_list`](Self::on_list).
    pub fn on_list_push(&mut self, now: Duration, list: VmList, age: Duration) -> bool {
        self.on_list(now, list, self.max_relayed_age(now, age))
    }

    /// Processes the first message of a link; `from` is the IP address of the peer. The peer counts
    /// as reached only from its first heartbeat on, which shows its list generation.
    pub fn on_hello(&mut self, vm: &Name, incarnation: Incarnation, from: IpAddr) -> HelloOutcome {
        let listed = self.address(vm).is_some_and(|address| address.ip() == from);
        let peer = self.peer_states.entry(vm.clone()).or_default();
        peer.refused_at = None;
        match peer.incarnation.replace(incarnation) {
            Some(old) if old != incarnation => {
                peer.restarted = true;
                peer.ready = false;
                if listed {
                    HelloOutcome::Restarted { old }
                } else {
                    HelloOutcome::Replaced { old }
                }
            }
            _ => HelloOutcome::Known,
        }
    }

    /// Processes a heartbeat. If the sender has the same list, the list age that it reports
    /// confirms this daemon's list.
    pub fn on_heartbeat(&mut self, now: Duration, vm: &Name, heartbeat: HeartbeatInfo) {
        let peer = self.peer_states.entry(vm.clone()).or_default();
        if now >= self.last_pause.0 {
            peer.last_heard = Some(now);
        }
        peer.refused_at = None;
        peer.ready = heartbeat.ready;
        peer.generation = heartbeat.generation;
        self.newest_generation = self.newest_generation.max(heartbeat.generation);
        if self.list.is_some() && heartbeat.generation == self.generation() {
            let age = self.max_relayed_age(now, heartbeat.age);
            self.confirm_list((now + TIME_OFFSET).saturating_sub(age));
        }
        if self.reaches_all_peers(now) {
            self.all_reached_at = now + TIME_OFFSET;
        }
        if let Some(since) = self.stale_since
            && !self.link_peers.is_empty()
            && self
                .link_peers
                .iter()
                .all(|name| self.last_heard(name).is_some_and(|at| at > since))
        {
            self.stale_since = None;
        }
    }

    /// Records that the listed (or last listed) address of `vm` refused a connection: the VM runs,
    /// but the process has ended.
    pub fn on_refused(&mut self, now: Duration, vm: &Name) {
        if self.address(vm).is_some() {
            let peer = self.peer_states.entry(vm.clone()).or_default();
            peer.last_heard = None;
            peer.ready = false;
            peer.refused_at = Some(now);
        }
    }

    /// The heartbeat to send to peers now.
    #[must_use]
    pub fn heartbeat(&self, now: Duration) -> HeartbeatInfo {
        HeartbeatInfo {
            generation: self.generation(),
            age: self.list_age(now),
            ready: self.ready,
        }
    }

    /// Records that the link to `vm` timed out and was closed. The process may still run.
    pub fn on_link_timeout(&mut self, _now: Duration, vm: &Name) {
        if let Some(peer) = self.peer_states.get_mut(vm) {
            peer.last_heard = None;
        }
    }

    /// Records that this process was paused for `length` until `now`. Has to be called before any
    /// buffered message is processed. Messages received within the next [`Config::peer_timeout`]
    /// may have been buffered since the pause began, so `length` is added to the ages in them, and
    /// heartbeats are no evidence that their sender is reached.
    pub fn on_pause(&mut self, now: Duration, length: Duration) {
        self.stale_since = (!self.cfg.standalone).then_some(now);
        self.last_pause = (now + self.cfg.peer_timeout, length);
    }

    /// Whether the list was confirmed or all peers sent a heartbeat since the last pause. If not,
    /// permits and shares are void.
    #[must_use]
    pub fn is_fresh(&self) -> bool {
        self.stale_since.is_none()
    }

    /// Sets whether this daemon accepts requests.
    pub fn set_ready(&mut self, ready: bool) {
        self.ready = ready;
    }

    /// Whether the list marks this VM as leaving.
    #[must_use]
    pub fn is_leaving(&self) -> bool {
        self.row(&self.name)
            .is_some_and(|row| row.state == VmState::Leaving)
    }

    /// Peers to which this daemon opens links.
    #[must_use]
    pub fn peers(&self) -> &[Name] {
        &self.link_peers
    }

    /// Address for other daemons of a listed VM, or of one that left the list within the hold-down.
    #[must_use]
    pub fn address(&self, vm: &str) -> Option<SocketAddr> {
        let departed = || Some(&self.departed.get(vm)?.0);
        Some(self.row(vm).or_else(departed)?.peer)
    }

    /// Daemons that callers may use: listed as live, ready and, except for this daemon, reached.
    pub fn entries(&self, now: Duration) -> impl Iterator<Item = Entry> {
        let rows = self.list.iter().flat_map(|list| &list.vms);
        rows.filter(|row| row.state == VmState::Live)
            .filter_map(move |row| {
                let incarnation = if row.name == self.name {
                    self.ready.then_some(self.incarnation)
                } else {
                    let peer = self.peer_states.get(&row.name)?;
                    peer.incarnation
                        .filter(|_| peer.ready && self.reaches(now, &row.name))
                }?;
                Some(Entry {
                    vm: row.name.clone(),
                    zone: row.zone.clone(),
                    address: row.entry,
                    incarnation,
                })
            })
    }

    /// Name of this daemon's VM.
    #[must_use]
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Incarnation of this daemon.
    #[must_use]
    pub fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// Timing of the membership rules.
    #[must_use]
    pub fn config(&self) -> &Config {
        &self.cfg
    }

    /// The current list.
    #[must_use]
    pub fn list(&self) -> Option<&VmList> {
        self.list.as_ref()
    }

    /// Generation of the current list, 0 if there is none.
    #[must_use]
    pub fn generation(&self) -> u64 {
        self.list.as_ref().map_or(0, |list| list.generation)
    }

    /// Time since the platform confirmed the list, as sent in heartbeats and list pushes.
    #[must_use]
    pub fn list_age(&self, now: Duration) -> Duration {
        (now + TIME_OFFSET).saturating_sub(self.list_read_at)
    }

    /// Zone of this daemon's VM, if it is listed.
    #[must_use]
    pub fn zone(&self) -> Option<&str> {
        Some(&self.row(&self.name)?.zone)
    }

    /// Incarnation in the last hello of `vm`.
    #[must_use]
    pub fn incarnation_of(&self, vm: &str) -> Option<Incarnation> {
        self.peer_states.get(vm)?.incarnation
    }

    /// Time of the last heartbeat of `vm`, unless its link has ended since.
    #[must_use]
    pub fn last_heard(&self, vm: &str) -> Option<Duration> {
        self.peer_states.get(vm)?.last_heard
    }

    /// Owner of a target in `zone` according to the list; if the zone has no live VM, all live VMs
    /// are candidates.
    #[must_use]
    pub fn owner(&self, target: &str, zone: &str) -> Option<&str> {
        match self.live_by_zone.get(zone) {
            Some(vms) => first_ranked(target, vms.iter().map(|vm| &**vm)),
            None => first_ranked(target, self.live_by_zone.values().flatten().map(|vm| &**vm)),
        }
    }
}

impl View {
    pub(crate) fn row(&self, vm: &str) -> Option<&Vm> {
        let list = self.list.as_ref()?;
        self.row_index.get(vm).map(|&i| &list.vms[i])
    }

    pub(crate) fn with_offset(now: Duration) -> Duration {
        now + TIME_OFFSET
    }

    /// Generation in the last heartbeat of `vm`.
    pub(crate) fn generation_of(&self, vm: &str) -> u64 {
        self.peer_states.get(vm).map_or(0, |peer| peer.generation)
    }

    pub(crate) fn refused_at(&self, vm: &str) -> Option<Duration> {
        self.peer_states.get(vm)?.refused_at
    }

    /// Whether this process saw more than one incarnation of `vm`.
    pub(crate) fn restarted(&self, vm: &str) -> bool {
        self.peer_states.get(vm).is_some_and(|peer| peer.restarted)
    }

    /// Whether a VM left the list within the hold-down.
    pub(crate) fn has_recent_departures(&self, now: Duration) -> bool {
        let hold_down = self.cfg.hold_down;
        self.departed
            .values()
            .any(|(_, left)| now < *left + hold_down)
    }

    fn replace_list(&mut self, now: Duration, list: VmList) {
        let hold_down = self.cfg.hold_down;
        self.departed.retain(|_, (_, left)| now < *left + hold_down);
        for row in self.list.take().into_iter().flat_map(|old| old.vms) {
            self.departed.insert(row.name.clone(), (row, now));
        }
        self.row_index.clear();
        self.live_by_zone.clear();
        for (i, row) in list.vms.iter().enumerate() {
            self.departed.remove(&row.name);
            self.row_index.insert(row.name.clone(), i);
            if row.state == VmState::Live {
                let vms = self.live_by_zone.entry(row.zone.clone()).or_default();
                vms.push(row.name.clone());
            }
        }
        let (rows, departed) = (&self.row_index, &self.departed);
        self.peer_states.retain(|vm, peer| {
            let recent = |at: Duration| now < at + hold_down;
            rows.contains_key(vm)
                || departed.contains_key(vm)
                || peer.last_heard.is_some_and(recent)
        });
        self.link_peers = link_peers(&list, &self.name);
        self.unlisted_since = match (self.row_index.contains_key(&self.name), self.unlisted_since) {
            (true, _) => None,
            (false, since) => Some(since.unwrap_or(now)),
        };
        self.list = Some(list);
    }
}
