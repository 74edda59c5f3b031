//! What this daemon knows about the fleet.

use std::collections::{BTreeMap, HashMap};
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use crate::config::Config;
use crate::hash::first_ranked;
use crate::links::peers;
use crate::list::{Incarnation, Name, Vm, VmList, VmState};
use crate::peer::{Entry, HeartbeatInfo, HelloOutcome};

/// Added to all times kept here, so that the age of a list may exceed `now`.
pub(crate) const ORIGIN: Duration = Duration::from_hours(365 * 24);

#[derive(Clone, Debug, Default)]
struct Peer {
    incarnation: Option<Incarnation>,
    restarted: bool,
    heard: Option<Duration>,
    generation: u64,
    refused: Option<Duration>,
    ready: bool,
}

/// The last VM list, what was heard of each VM, and the lease.
///
/// ```
/// use std::time::Duration;
/// use member::{HeartbeatInfo, Config, Incarnation, Lease, View, Vm, VmList, VmState};
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
/// let beat = HeartbeatInfo { generation: 1, age: Duration::ZERO, ready: true };
/// view.on_hello(&"vm-2".into(), Incarnation(2), address.ip());
/// view.on_heartbeat(now, &"vm-2".into(), beat);
/// assert_eq!(view.entries(now).count(), 1, "this daemon isn't ready yet");
/// ```
#[derive(Clone, Debug)]
pub struct View {
    pub(crate) cfg: Config,
    name: Name,
    incarnation: Incarnation,
    pub(crate) list: Option<VmList>,
    rows: HashMap<Name, usize>,
    live: BTreeMap<Name, Vec<Name>>,
    pub(crate) links: Vec<Name>,
    known: HashMap<Name, Peer>,
    departed: HashMap<Name, (Vm, Duration)>,
    /// When the platform had confirmed the list, shifted by [`ORIGIN`].
    pub(crate) read: Duration,
    /// When all peers were last reached and none had a fresher list, shifted likewise.
    pub(crate) met: Duration,
    /// Highest generation that a peer named.
    pub(crate) newest: u64,
    pub(crate) unlisted: Option<Duration>,
    ready: bool,
    pub(crate) stale: Option<Duration>,
    pub(crate) pause: (Duration, Duration),
}

impl View {
    /// A view that knows nothing but its own VM's name and its own incarnation.
    #[must_use]
    pub fn new(cfg: Config, name: Name, incarnation: Incarnation) -> Self {
        Self {
            cfg,
            name,
            incarnation,
            list: None,
            rows: HashMap::new(),
            live: BTreeMap::new(),
            links: Vec::new(),
            known: HashMap::new(),
            departed: HashMap::new(),
            read: Duration::ZERO,
            met: Duration::ZERO,
            newest: 0,
            unlisted: None,
            ready: false,
            stale: None,
            pause: Default::default(),
        }
    }

    /// Takes a list read from the platform; `age` is the time since the request was sent. Returns
    /// whether the list was fresher; then [`Ownership::update`](crate::Ownership::update) must
    /// follow before anything else is decided.
    pub fn on_list(&mut self, now: Duration, list: VmList, age: Duration) -> bool {
        let read = (now + ORIGIN).saturating_sub(age);
        let generation = self.generation();
        if self.list.is_some() && list.generation <= generation {
            if list.generation == generation {
                self.confirm(read);
            }
            return false;
        }
        self.replace(now, list);
        self.read = read;
        self.met = Duration::ZERO;
        self.confirm(read);
        true
    }

    /// Takes a list relayed by a peer, with the age that the peer gave; otherwise as
    /// [`on_list`](Self::on_list).
    pub fn on_list_push(&mut self, now: Duration, list: VmList, age: Duration) -> bool {
        self.on_list(now, list, self.relayed(now, age))
    }

    /// Takes the first message of a link; `from` is the IP address of its other end. The peer
    /// counts as heard from its first heartbeat, which shows its list.
    pub fn on_hello(&mut self, vm: &Name, incarnation: Incarnation, from: IpAddr) -> HelloOutcome {
        let listed = self.address(vm).is_some_and(|address| address.ip() == from);
        let peer = self.known.entry(vm.clone()).or_default();
        peer.refused = None;
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

    /// Takes a heartbeat. A peer with the same list confirms it with its own age.
    pub fn on_heartbeat(&mut self, now: Duration, vm: &Name, beat: HeartbeatInfo) {
        let peer = self.known.entry(vm.clone()).or_default();
        if now >= self.pause.0 {
            peer.heard = Some(now);
        }
        peer.refused = None;
        peer.ready = beat.ready;
        peer.generation = beat.generation;
        self.newest = self.newest.max(beat.generation);
        if self.list.is_some() && beat.generation == self.generation() {
            let age = self.relayed(now, beat.age);
            self.confirm((now + ORIGIN).saturating_sub(age));
        }
        if self.reaches_all(now) {
            self.met = now + ORIGIN;
        }
        if let Some(since) = self.stale
            && !self.links.is_empty()
            && self
                .links
                .iter()
                .all(|name| self.last_heard(name).is_some_and(|at| at > since))
        {
            self.stale = None;
        }
    }

    /// The listed (or last listed) address of `vm` refuses connections: the process is gone while
    /// its VM answers.
    pub fn on_refused(&mut self, now: Duration, vm: &Name) {
        if self.address(vm).is_some() {
            let peer = self.known.entry(vm.clone()).or_default();
            peer.heard = None;
            peer.ready = false;
            peer.refused = Some(now);
        }
    }

    /// The heartbeat to send.
    #[must_use]
    pub fn heartbeat(&self, now: Duration) -> HeartbeatInfo {
        HeartbeatInfo {
            generation: self.generation(),
            age: self.list_age(now),
            ready: self.ready,
        }
    }

    /// The link to `vm` was silent and is closed; nothing is known about the process.
    pub fn on_link_timeout(&mut self, _now: Duration, vm: &Name) {
        if let Some(peer) = self.known.get_mut(vm) {
            peer.heard = None;
        }
    }

    /// The process was paused for `length` until `now`. To be called before any message that
    /// waited in a buffer is taken: messages of the next [`Config::peer_timeout`] may have waited since
    /// the pause began; their ages count for `length` more, and heartbeats don't show that their
    /// sender is reached.
    pub fn on_pause(&mut self, now: Duration, length: Duration) {
        self.stale = (!self.cfg.standalone).then_some(now);
        self.pause = (now + self.cfg.peer_timeout, length);
    }

    /// Whether the view was refreshed since the last pause. If not, permits and shares are void.
    #[must_use]
    pub fn is_fresh(&self) -> bool {
        self.stale.is_none()
    }

    /// Sets whether this daemon takes calls.
    pub fn set_ready(&mut self, ready: bool) {
        self.ready = ready;
    }

    /// Whether the list marks this VM as leaving.
    #[must_use]
    pub fn is_leaving(&self) -> bool {
        self.row(&self.name)
            .is_some_and(|row| row.state == VmState::Leaving)
    }

    /// Peers to be linked.
    #[must_use]
    pub fn peers(&self) -> &[Name] {
        &self.links
    }

    /// Peer address of a listed VM, or of one that left the list within the hold-down.
    #[must_use]
    pub fn address(&self, vm: &str) -> Option<SocketAddr> {
        let departed = || Some(&self.departed.get(vm)?.0);
        Some(self.row(vm).or_else(departed)?.peer)
    }

    /// Daemons that callers may use: listed as live, ready and heard, with this one if it is.
    pub fn entries(&self, now: Duration) -> impl Iterator<Item = Entry> {
        let rows = self.list.iter().flat_map(|list| &list.vms);
        rows.filter(|row| row.state == VmState::Live)
            .filter_map(move |row| {
                let incarnation = if row.name == self.name {
                    self.ready.then_some(self.incarnation)
                } else {
                    let peer = self.known.get(&row.name)?;
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

    /// Name of the own VM.
    #[must_use]
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Own incarnation.
    #[must_use]
    pub fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// Times in use.
    #[must_use]
    pub fn config(&self) -> &Config {
        &self.cfg
    }

    /// The list, to be pushed to peers that have an older one.
    #[must_use]
    pub fn list(&self) -> Option<&VmList> {
        self.list.as_ref()
    }

    /// Generation of the list, 0 without one.
    #[must_use]
    pub fn generation(&self) -> u64 {
        self.list.as_ref().map_or(0, |list| list.generation)
    }

    /// Age of the list, to be sent in heartbeats and list pushes.
    #[must_use]
    pub fn list_age(&self, now: Duration) -> Duration {
        (now + ORIGIN).saturating_sub(self.read)
    }

    /// Zone of the own VM, if it is listed.
    #[must_use]
    pub fn zone(&self) -> Option<&str> {
        Some(&self.row(&self.name)?.zone)
    }

    /// Incarnation of the last hello of `vm`.
    #[must_use]
    pub fn incarnation_of(&self, vm: &str) -> Option<Incarnation> {
        self.known.get(vm)?.incarnation
    }

    /// When `vm` was last heard, unless its link ended since.
    #[must_use]
    pub fn last_heard(&self, vm: &str) -> Option<Duration> {
        self.known.get(vm)?.heard
    }

    /// Owner of a target by the list.
    #[must_use]
    pub fn owner(&self, target: &str, zone: &str) -> Option<&str> {
        match self.live.get(zone) {
            Some(vms) => first_ranked(target, vms.iter().map(|vm| &**vm)),
            None => first_ranked(target, self.live.values().flatten().map(|vm| &**vm)),
        }
    }
}

impl View {
    pub(crate) fn row(&self, vm: &str) -> Option<&Vm> {
        let list = self.list.as_ref()?;
        self.rows.get(vm).map(|&i| &list.vms[i])
    }

    pub(crate) fn shift(now: Duration) -> Duration {
        now + ORIGIN
    }

    /// Generation that the last heartbeat of `vm` named.
    pub(crate) fn generation_of(&self, vm: &str) -> u64 {
        self.known.get(vm).map_or(0, |peer| peer.generation)
    }

    pub(crate) fn refused(&self, vm: &str) -> Option<Duration> {
        self.known.get(vm)?.refused
    }

    /// Whether this process saw more than one incarnation of `vm`.
    pub(crate) fn restarted(&self, vm: &str) -> bool {
        self.known.get(vm).is_some_and(|peer| peer.restarted)
    }

    /// Whether a VM left the list within the hold-down.
    pub(crate) fn departures(&self, now: Duration) -> bool {
        let hold_down = self.cfg.hold_down;
        self.departed
            .values()
            .any(|(_, left)| now < *left + hold_down)
    }

    fn replace(&mut self, now: Duration, list: VmList) {
        let hold_down = self.cfg.hold_down;
        self.departed.retain(|_, (_, left)| now < *left + hold_down);
        for row in self.list.take().into_iter().flat_map(|old| old.vms) {
            self.departed.insert(row.name.clone(), (row, now));
        }
        self.rows.clear();
        self.live.clear();
        for (i, row) in list.vms.iter().enumerate() {
            self.departed.remove(&row.name);
            self.rows.insert(row.name.clone(), i);
            if row.state == VmState::Live {
                let vms = self.live.entry(row.zone.clone()).or_default();
                vms.push(row.name.clone());
            }
        }
        let (rows, departed) = (&self.rows, &self.departed);
        self.known.retain(|vm, peer| {
            let recent = |at: Duration| now < at + hold_down;
            rows.contains_key(vm) || departed.contains_key(vm) || peer.heard.is_some_and(recent)
        });
        self.links = peers(&list, &self.name);
        self.unlisted = match (self.rows.contains_key(&self.name), self.unlisted) {
            (true, _) => None,
            (false, since) => Some(since.unwrap_or(now)),
        };
        self.list = Some(list);
    }
}
