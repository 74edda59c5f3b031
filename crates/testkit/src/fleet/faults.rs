use super::Fleet;
use crate::proxy::{Direction, Proxy};

impl Fleet {
    /// Proxy from one daemon to the peer port of another.
    ///
    /// # Panics
    /// The fleet has no peer proxies or no such VM.
    #[must_use]
    pub fn peer_proxy(&self, from: &str, to: &str) -> &Proxy {
        let key = (from.to_owned(), to.to_owned());
        match self.peer_proxies.get(&key) {
            Some(proxy) => proxy,
            None => panic!("no proxy leads from {from:?} to {to:?}"),
        }
    }

    /// Proxies from all other daemons to the peer port of one.
    pub fn peer_proxies_to<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a Proxy> {
        let links = self
            .peer_proxies
            .iter()
            .filter(move |((_, to), _)| to == name);
        links.map(|(_, proxy)| proxy)
    }

    /// All proxies between daemons.
    pub fn all_peer_proxies(&self) -> impl Iterator<Item = &Proxy> {
        self.peer_proxies.values()
    }

    /// Proxy before a target.
    ///
    /// # Panics
    /// The target was not added by [`Fleet::add_target`].
    #[must_use]
    pub fn target_proxy(&self, name: &str) -> &Proxy {
        match self.target_proxies.get(name) {
            Some(proxy) => proxy,
            None => panic!("no proxy stands before target {name:?}"),
        }
    }

    /// Proxy from a daemon to the configuration service.
    ///
    /// # Panics
    /// The fleet has no platform proxies.
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
    /// The fleet has no platform proxies.
    #[must_use]
    pub fn list_proxy(&self, name: &str) -> &Proxy {
        match &self.vm(name).list_proxy {
            Some(proxy) => proxy,
            None => panic!("the fleet has no platform proxies"),
        }
    }

    /// Makes all connections between two groups of daemons silent, until [`heal`](Self::heal).
    pub fn partition(&self, left: &[&str], right: &[&str]) {
        for a in left {
            for b in right {
                self.peer_proxy(a, b).set_blackhole(true);
                self.peer_proxy(b, a).set_blackhole(true);
            }
        }
    }

    /// Makes the paths of a daemon to the configuration service and the VM list silent.
    pub fn set_platform_blackhole(&self, name: &str, silent: bool) {
        self.sheet_proxy(name).set_blackhole(silent);
        self.list_proxy(name).set_blackhole(silent);
    }

    /// Ends the silence of all proxies of the fleet. Latencies and refusals stay.
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
