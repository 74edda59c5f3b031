//! Relay for the datagrams between members that drops, delays and blocks them.

use std::collections::HashMap;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use rand::RngExt;
use tokio::net::UdpSocket;
use tokio::time::sleep;

/// Port on which members receive datagrams of peers, port of the relay to which they send them, and
/// port from which the relay forwards them with the sender's address.
pub const PEER_PORT: u16 = 7600;
pub const PEER_REACH_PORT: u16 = 7601;
const SOURCE_PORT: u16 = 7602;
const MAX_DATAGRAM: usize = 65_536;

/// What the relay does with datagrams.
#[derive(Clone, Debug, Default)]
pub struct Rules {
    /// Pairs of sender and receiver whose datagrams are dropped.
    pub blocked: Vec<(Ipv4Addr, Ipv4Addr)>,
    /// Share of datagrams that are dropped at random.
    pub loss: f64,
    pub delay: Duration,
}

#[derive(Clone)]
pub struct Relay {
    rules: Arc<Mutex<Rules>>,
}

impl Relay {
    pub async fn start(members: &[Ipv4Addr]) -> Self {
        let rules: Arc<Mutex<Rules>> = Arc::default();
        let mut senders = HashMap::new();
        for &ip in members {
            let sender = UdpSocket::bind((ip, SOURCE_PORT)).await.expect("bind");
            senders.insert(ip, Arc::new(sender));
        }
        let senders = Arc::new(senders);
        for &to in members {
            let socket = UdpSocket::bind((to, PEER_REACH_PORT)).await.expect("bind");
            let (rules, senders) = (Arc::clone(&rules), Arc::clone(&senders));
            tokio::spawn(async move {
                let mut buf = vec![0; MAX_DATAGRAM];
                while let Ok((len, from)) = socket.recv_from(&mut buf).await {
                    let IpAddr::V4(from) = from.ip() else {
                        continue;
                    };
                    let rules = rules.lock().expect("rules").clone();
                    let dropped = rules.loss > 0.0 && rand::rng().random_bool(rules.loss);
                    if dropped || rules.blocked.contains(&(from, to)) {
                        continue;
                    }
                    let Some(sender) = senders.get(&from).cloned() else {
                        continue;
                    };
                    let bytes = buf[..len].to_vec();
                    tokio::spawn(async move {
                        if !rules.delay.is_zero() {
                            sleep(rules.delay).await;
                        }
                        // A member that is down has no socket; its datagrams are lost, as on a real
                        // network.
                        let _ = sender
                            .send_to(&bytes, SocketAddr::from((to, PEER_PORT)))
                            .await;
                    });
                }
            });
        }
        Relay { rules }
    }

    pub fn update(&self, update: impl FnOnce(&mut Rules)) {
        update(&mut self.rules.lock().expect("rules"));
    }
}
