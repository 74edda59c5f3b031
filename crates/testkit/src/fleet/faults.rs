use super::Fleet;
use crate::proxy::{Direction, Proxy};

impl Fleet {
    /// Proxy from one daemon to the peer port of another.
    ///
    /// # Panics
    /// Panics if the fleet has no peer proxies or no such VM.
    #[must_use]
    pub fn peer_proxy(&self, from: &str, to: &str) -> &Proxy {
        let key = (from.to_owned(), to.to_owned());
        match self.peer_proxies.get(&key) {
            Some(proxy) => proxy,
            None => panic!("there is no proxy from {from:?} to {to:?}"),
        }
    }

    /// Proxies from all other daemons to the peer port of `name`.
    pub fn peer_proxies_to<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a Proxy> {
        let links = self
            .peer_proxies
            .iter()
            .filter(move |((_, to), _)| to == name);
        links.map(|(_, proxy)| proxy)
    }

    /// All proxies between pairs of daemons.
    pub fn all_peer_proxies(&self) -> impl Iterator<Item = &Proxy> {
        self.peer_proxies.values()
    }

    /// Proxy in front of a target.
    ///
    /// # Panics
    /// Panics if the target was not added with [`Fleet::add_target`].
    #[must_use]
    pub fn target_proxy(&self, name: &str) -> &Proxy {
        match self.target_proxies.get(name) {
            Some(proxy) => proxy,
            None => panic!("there is no proxy in front of target {name:?}"),
        }
    }

    /// Proxy from a daemon to the configuration service.
    ///
    /// # Panics
    /// Panics if the fleet has no platform proxies.
    #[must_use]
    pub fn sheet_proxy(&self, name: &str) -> &Proxy {
        match &self.vm(name).sheet_proxy {
            Some(proxy) => proxy,
            None => panic!("the fleet has no platform proxies"),
        }
    }

    /// Proxy from a daemon to the VM list.
    ///
    /// # Panics
    /// Panics if the fleet has no platform proxies.
    #[must_use]
    pub fn list_proxy(&self, name: &str) -> &Proxy {
        match &self.vm(name).list_proxy {
            Some(proxy) => proxy,
            None => panic!("the fleet has no platform proxies"),
        }
    }

    /// Blocks all traffic between two groups of daemons until [`heal`](Self::heal).
    pub fn partition(&self, left: &[&str], right: &[&str]) {
        for a in left {
            for b in right {
                self.peer_proxy(a, b).set_blackhole(true);
                self.peer_proxy(b, a).set_blackhole(true);
            }
        }
    }

    /// Blocks or unblocks the traffic of a daemon to the configuration service and the VM list.
    pub fn set_platform_blackhole(&self, name: &str, silent: bool) {
        self.sheet_proxy(name).set_blackhole(silent);
        self.list_proxy(name).set_blackhole(silent);
    }

    /// Releases the held-back traffic of all proxies of the fleet. Latencies and refusals of
    /// connections stay, as do connections silenced by [`Proxy::silence_existing`].
    pub fn heal(&self) {
        let platform = self.vms.values();
        let platform = platform.flat_map(|vm| vm.sheet_proxy.iter().chain(&vm.list_proxy));
        for proxy in self
            .all_peer_proxies()
            .chain(self.target_proxies.values())
            .chain(platform)
        {
            proxy.set_held(Direction::Up, false);
            proxy.set_held(Direction::Down, false);
        }
    }
}
