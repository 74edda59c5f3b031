//! Links between daemons.
//!
//! Each daemon dials each of its peers. Requests travel on the dialled link and their replies come
//! back on it, so that two daemons that are peers of each other have two connections.

mod accept;
mod byte_count;
mod close_reason;
mod dial;
mod validate;

use std::collections::HashMap;
use std::fmt;
use std::net::SocketAddr;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use member::Incarnation;
use sheet::Name;
use tokio::sync::{mpsc, oneshot};
use wire::Body;

pub(crate) use accept::{Peer, serve};
pub(crate) use dial::{LinkEvent, dial};

/// Why a peer gave no reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum PeerError {
    /// There is no link to the peer; nothing was sent.
    NotLinked,
    /// The link broke before the reply came.
    Closed,
    /// No reply came in time.
    Timeout,
}

impl fmt::Display for PeerError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            PeerError::NotLinked => "the peer is not linked",
            PeerError::Closed => "the link closed before the reply",
            PeerError::Timeout => "the peer did not reply in time",
        })
    }
}

/// Message for the task of a link.
#[derive(Debug)]
pub(crate) enum Outgoing {
    Send(Body),
    Call(Body, oneshot::Sender<Body>),
}

/// Messages that may be queued for a link; while its queue is full, further ones are not sent.
const OUTGOING_QUEUE: usize = 4096;

#[derive(Debug)]
struct Link {
    address: SocketAddr,
    tx: mpsc::Sender<Outgoing>,
    linked_to: Option<Incarnation>,
    task: tokio::task::AbortHandle,
}

/// The links that this daemon dials.
#[derive(Debug, Default)]
pub(crate) struct Peers {
    links: Mutex<HashMap<Name, Link>>,
}

impl Peers {
    fn with_links<T>(&self, f: impl FnOnce(&mut HashMap<Name, Link>) -> T) -> T {
        f(&mut self.links.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Dials new peers and closes links to those that are not in `peers`.
    ///
    /// `dial` starts the task of a link.
    pub(crate) fn set_peers(
        &self,
        peers: &[(Name, SocketAddr)],
        dial: impl Fn(Name, SocketAddr, mpsc::Receiver<Outgoing>) -> tokio::task::AbortHandle,
    ) {
        self.with_links(|links| {
            links.retain(|vm, link| {
                let keep = peers.iter().any(|peer| *peer == (vm.clone(), link.address));
                if !keep {
                    link.task.abort();
                }
                keep
            });
            for (vm, address) in peers {
                links.entry(vm.clone()).or_insert_with(|| {
                    let (tx, rx) = mpsc::channel(OUTGOING_QUEUE);
                    Link {
                        address: *address,
                        tx,
                        linked_to: None,
                        task: dial(vm.clone(), *address, rx),
                    }
                });
            }
        });
    }

    /// Sets the incarnation to which a link is up; `None` if it is down.
    pub(crate) fn set_linked(&self, vm: &str, linked_to: Option<Incarnation>) {
        self.with_links(|links| {
            if let Some(link) = links.get_mut(vm) {
                link.linked_to = linked_to;
            }
        });
    }

    /// VM whose link is up to an incarnation.
    pub(crate) fn vm_of(&self, incarnation: Incarnation) -> Option<Name> {
        self.with_links(|links| {
            links
                .iter()
                .find(|(_, link)| link.linked_to == Some(incarnation))
                .map(|(vm, _)| vm.clone())
        })
    }

    /// Incarnation of a VM that is linked.
    pub(crate) fn incarnation_of(&self, vm: &str) -> Option<Incarnation> {
        self.with_links(|links| links.get(vm).and_then(|link| link.linked_to))
    }

    /// Names of the VMs that are linked.
    pub(crate) fn linked(&self) -> Vec<Name> {
        self.with_links(|links| {
            links
                .iter()
                .filter(|(_, link)| link.linked_to.is_some())
                .map(|(vm, _)| vm.clone())
                .collect()
        })
    }

    fn sender(&self, vm: &str) -> Result<mpsc::Sender<Outgoing>, PeerError> {
        self.with_links(|links| match links.get(vm) {
            Some(link) if link.linked_to.is_some() => Ok(link.tx.clone()),
            _ => Err(PeerError::NotLinked),
        })
    }

    /// Sends a message without a reply. Returns false if the link is down or its queue is full.
    pub(crate) fn send(&self, vm: &str, body: Body) -> bool {
        self.sender(vm)
            .is_ok_and(|tx| tx.try_send(Outgoing::Send(body)).is_ok())
    }

    /// Sends a message to all linked peers.
    pub(crate) fn broadcast(&self, body: &Body) {
        for vm in self.linked() {
            self.send(&vm, body.clone());
        }
    }

    /// Sends a request. The reply comes on the receiver, which fails when the link breaks.
    pub(crate) fn start_call(
        &self,
        vm: &str,
        body: Body,
    ) -> Result<oneshot::Receiver<Body>, PeerError> {
        let (tx, rx) = oneshot::channel();
        self.sender(vm)?
            .try_send(Outgoing::Call(body, tx))
            .map_err(|_| PeerError::NotLinked)?;
        Ok(rx)
    }

    /// Sends a request and waits for its reply.
    pub(crate) async fn call(
        &self,
        vm: &str,
        body: Body,
        wait: Duration,
    ) -> Result<Body, PeerError> {
        let rx = self.start_call(vm, body)?;
        match tokio::time::timeout(wait, rx).await {
            Ok(Ok(body)) => Ok(body),
            Ok(Err(_)) => Err(PeerError::Closed),
            Err(_) => Err(PeerError::Timeout),
        }
    }
}
