//! Clients that send requests all the time.

use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use crate::fleet::{Fleet, Member, Request};

/// A request as its client saw it.
#[derive(Clone, Debug)]
pub struct Sent {
    pub member: usize,
    pub sent: Duration,
    pub status: u16,
}

/// Threads of clients, until stopped.
pub struct Clients {
    stop: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
    pub log: Arc<Mutex<HashMap<String, Sent>>>,
}

impl Clients {
    /// Starts `threads` clients. Each sends requests with `key`, with `pause` between, to the members in
    /// turn, and leaves out those for which `usable` is false.
    pub fn start(
        fleet: &Arc<Fleet>,
        name: &'static str,
        threads: usize,
        pause: Duration,
        key: &'static str,
        usable: impl Fn(&Member) -> bool + Send + Sync + 'static,
    ) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let log: Arc<Mutex<HashMap<String, Sent>>> = Arc::default();
        let count = Arc::new(AtomicUsize::new(0));
        let usable = Arc::new(usable);
        let threads = (0..threads).map(|_| {
            let (fleet, stop, log) = (Arc::clone(fleet), Arc::clone(&stop), Arc::clone(&log));
            let (count, usable) = (Arc::clone(&count), Arc::clone(&usable));
            thread::spawn(move || {
                while !stop.load(Ordering::SeqCst) {
                    let number = count.fetch_add(1, Ordering::SeqCst);
                    let member = &fleet.members[number % fleet.members.len()];
                    if usable(member) {
                        let attempt = format!("{name}-{number}");
                        let body = format!("order {number}");
                        let call = fleet.call(
                            member,
                            &Request {
                                path: "/swap/confirm",
                                attempt: &attempt,
                                key,
                                deadline: Duration::from_millis(1500),
                                body: body.as_bytes(),
                            },
                        );
                        let sent = Sent {
                            member: member.index,
                            sent: call.sent,
                            status: call.status(),
                        };
                        if call.connected {
                            log.lock().expect("log").insert(attempt, sent);
                        }
                    }
                    thread::sleep(pause);
                }
            })
        });
        Clients {
            threads: threads.collect(),
            stop,
            log,
        }
    }

    /// Ends the clients and returns what they sent, by attempt.
    pub fn finish(self) -> HashMap<String, Sent> {
        self.stop.store(true, Ordering::SeqCst);
        for thread in self.threads {
            let _ = thread.join();
        }
        let log = self.log.lock().expect("log");
        log.clone()
    }
}
