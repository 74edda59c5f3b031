//! Peers that violate the protocol: their links are closed, and the daemon keeps serving.

mod support;

use std::net::SocketAddr;

use bytes::BytesMut;
use futures_util::{SinkExt, StreamExt};
use serde_json::{Value, json};
use support::WAIT_TIMEOUT;
use support::messages::{frame, hello, invalid_messages, out_of_range_messages};
use support::single_daemon::{SingleDaemon, poll_until, read_to_end};
use testkit::fleet::fast_timing;
use testkit::{VmEntry, VmListService, VmState};
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio_util::codec::{Encoder, Framed};
use wire::{
    Body, Digest, Frame, FrameCodec, Heartbeat, Hello, MAX_FRAME_LEN, PROTOCOL_VERSION, PartQuery,
};

const CLOSED: &str = "primrosechute_links_closed_total";

fn listed(vm: &str, entry: SocketAddr, peer: SocketAddr) -> VmEntry {
    VmEntry {
        name: vm.into(),
        zone: "zone-a".into(),
        state: VmState::Live,
        entry,
        peer,
    }
}

/// A daemon with a VM list; the test acts as its peers.
struct PeerFixture {
    daemon: SingleDaemon,
    vms: VmListService,
}

fn timing() -> Value {
    let mut timing = fast_timing();
    timing["load_poll"] = "50ms".into();
    timing
}

impl PeerFixture {
    async fn start() -> PeerFixture {
        let vms = VmListService::start(SocketAddr::from(([127, 0, 0, 1], 0)));
        let vms = vms.await.unwrap();
        let mut daemon = SingleDaemon::prepare().await;
        vms.upsert(listed("vm-1", daemon.entry, daemon.peer));
        daemon.spawn(&json!({
            "peer": daemon.peer,
            "vm_list": vms.addr(),
            "timing": timing(),
            "log": { "level": "info" },
        }));
        daemon.wait_ready().await;
        PeerFixture { daemon, vms }
    }

    async fn connect(&self) -> TcpStream {
        TcpStream::connect(self.daemon.peer).await.unwrap()
    }

    /// Opens a link and exchanges hellos. Returns the link and the daemon's hello.
    async fn connect_with_hello(&self, vm: &str) -> (Framed<TcpStream, FrameCodec>, Hello) {
        let mut framed = Framed::new(self.connect().await, FrameCodec::default());
        framed.send(frame(0, hello(vm))).await.unwrap();
        match framed.next().await.unwrap().unwrap().body {
            Some(Body::Hello(hello)) => (framed, hello),
            other => panic!("no hello but {other:?}"),
        }
    }

    /// Asserts that exactly one log line reports the closing of a link, with the given reason.
    async fn assert_closed(&self, link_name: &str, reason: &str) {
        let line = format!("peer: link with {link_name} closed: {reason}");
        self.daemon.wait_log(&line, 1).await;
        let lines = self
            .daemon
            .log()
            .matches(&format!("link with {link_name} "))
            .count();
        assert_eq!(lines, 1, "{line}");
    }
}

/// Bytes of a frame.
fn encode(body: Body) -> Vec<u8> {
    let mut buf = BytesMut::new();
    FrameCodec::default()
        .encode(frame(0, body), &mut buf)
        .unwrap();
    buf.to_vec()
}

/// Hello of a peer with a newer protocol version.
fn newer_hello() -> Body {
    Body::Hello(Hello {
        version: PROTOCOL_VERSION + 1,
        vm: "vm-2".into(),
        ..Hello::default()
    })
}

/// Guards against a link that stays open after an invalid first frame, against log lines forged by
/// a peer, and against an invalid link that stops the daemon from serving.
#[tokio::test]
async fn bad_first_frames_close_the_link() {
    let fixture = PeerFixture::start().await;
    let too_large = u32::try_from(MAX_FRAME_LEN + 1).unwrap().to_be_bytes();
    let cases = [
        (
            b"\0\0\0\x64\x08\x01".to_vec(),
            "cannot read a frame: the link ended inside a frame",
        ),
        (
            b"\0\0".to_vec(),
            "cannot read a frame: the link ended inside a frame",
        ),
        (
            too_large.to_vec(),
            "cannot read a frame: frame size too big",
        ),
        (
            b"GET / HTTP/1.1\r\n\r\n".to_vec(),
            "cannot read a frame: frame size too big",
        ),
        (
            b"\0\0\0\x04\xff\xff\xff\xff".to_vec(),
            "a frame holds no valid message: ",
        ),
        (b"\0\0\0\0".to_vec(), "the first frame is no hello"),
        (
            encode(Body::Heartbeat(Heartbeat::default())),
            "the first frame is no hello",
        ),
        (encode(newer_hello()), "it speaks protocol version 2, not 1"),
        (encode(hello("")), "the hello has no valid VM name"),
        (
            encode(hello("vm-2\nentry: forged")),
            "the hello has no valid VM name",
        ),
        (encode(hello(&"v".repeat(65))), "a name is too long"),
        (Vec::new(), "no hello came"),
    ];
    for (bytes, reason) in cases {
        let mut stream = fixture.connect().await;
        let link_name = stream.local_addr().unwrap().to_string();
        stream.write_all(&bytes).await.unwrap();
        if reason.contains("ended inside") {
            stream.shutdown().await.unwrap();
        }
        read_to_end(&mut stream).await;
        fixture.assert_closed(&link_name, reason).await;
    }
    assert!(!fixture.daemon.log().contains("\nentry: forged"));
    fixture.daemon.assert_serves().await;
}

/// Guards against invalid messages that are applied instead of closing the link.
#[tokio::test]
async fn bad_messages_close_the_link() {
    let fixture = PeerFixture::start().await;
    let generation = fixture.daemon.status().await["list_generation"].clone();
    for (index, (body, reason)) in invalid_messages().into_iter().enumerate() {
        let vm = format!("vm-bad-{index}");
        let (mut link, _) = fixture.connect_with_hello(&vm).await;
        link.send(Frame { seq: 0, body }).await.unwrap();
        while let Some(Ok(_)) = link.next().await {}
        fixture.assert_closed(&vm, reason).await;
    }
    let labels = ["reason=\"message\""];
    assert_eq!(fixture.daemon.counter(CLOSED, &labels).await, 11);
    assert_eq!(fixture.daemon.status().await["list_generation"], generation);
    fixture.daemon.assert_serves().await;
}

/// Guards against links that stay open to a peer that is silent or does not read.
#[tokio::test]
async fn silent_and_stuck_links_are_closed() {
    let fixture = PeerFixture::start().await;

    let (mut silent, _) = fixture.connect_with_hello("vm-silent").await;
    while let Some(Ok(_)) = silent.next().await {}
    fixture
        .assert_closed("vm-silent", "nothing came for too long")
        .await;

    let (mut stuck, _) = fixture.connect_with_hello("vm-stuck").await;
    let flood = async {
        let mut seq = 0;
        loop {
            seq += 1;
            let query = frame(seq, Body::PartQuery(PartQuery::default()));
            if stuck.send(query).await.is_err() {
                return;
            }
        }
    };
    tokio::time::timeout(WAIT_TIMEOUT, flood)
        .await
        .expect("the daemon closes the link");
    fixture
        .assert_closed("vm-stuck", "it does not read what is sent")
        .await;
    fixture.daemon.assert_serves().await;
}

/// Guards against a daemon that dials a peer and treats it as linked although its answers violate
/// the protocol.
#[tokio::test]
async fn bad_answers_of_a_dialled_peer_close_the_link() {
    let fixture = PeerFixture::start().await;
    let listener = TcpListener::bind(SocketAddr::from(([127, 0, 0, 1], 0)));
    let listener = listener.await.unwrap();
    let address = listener.local_addr().unwrap();
    fixture.vms.upsert(listed("vm-2", address, address));
    let hello_frame = encode(hello("vm-2"));
    let after_hello = |bytes: &[u8]| [&hello_frame, bytes].concat();
    let cases = [
        (
            b"\0\0\0\x04\xff\xff\xff\xff".to_vec(),
            "a frame holds no valid message: ",
        ),
        (
            encode(Body::Heartbeat(Heartbeat::default())),
            "the first frame is no hello",
        ),
        (encode(newer_hello()), "it speaks protocol version 2, not 1"),
        (encode(hello("vm-3")), "its address answers for another VM"),
        (Vec::new(), "no hello came"),
        (
            after_hello(b"GET / HTTP/1.1"),
            "cannot read a frame: frame size too big",
        ),
        (after_hello(b"\0\0\0\0"), "a frame has no known content"),
        (after_hello(&hello_frame), "a second hello came"),
        (after_hello(b""), "nothing came for too long"),
    ];
    for (bytes, reason) in cases {
        let (mut stream, _) = listener.accept().await.unwrap();
        stream.write_all(&bytes).await.unwrap();
        read_to_end(&mut stream).await;
        let text = format!("peer: link with vm-2 closed: {reason}");
        fixture.daemon.wait_log(&text, 1).await;
    }
    let unlinked = |status: &Value| status["linked"] == json!([]);
    fixture.daemon.wait_status("no link", unlinked).await;
}

/// Guards against a task of the daemon that panics on a value from a peer, for example on overflow.
#[tokio::test]
async fn out_of_range_values_do_not_panic() {
    let fixture = PeerFixture::start().await;
    let (mut link, own) = fixture.connect_with_hello("vm-odd").await;
    let mut seq = 0;
    for body in out_of_range_messages(own.incarnation) {
        // Once as a message and once as a request, followed by a query whose reply shows that both
        // were processed.
        seq += 2;
        let query = Body::PartQuery(PartQuery::default());
        for frame in [
            frame(0, body.clone()),
            frame(seq, body),
            frame(seq + 1, query),
        ] {
            link.send(frame).await.unwrap();
        }
        loop {
            let reply = link.next().await.expect("the link stays open").unwrap();
            if matches!(reply.body, Some(Body::PartClaims(_))) {
                break;
            }
        }
        fixture.daemon.assert_serves().await;
    }
    assert!(
        !fixture.daemon.log().contains("panicked"),
        "{}",
        fixture.daemon.log()
    );
    let rejected = fixture.daemon.status().await["rejected_sheet"].clone();
    assert_eq!(rejected["revision"], u64::MAX);
}

/// Guards against memory that is not freed after invalid links close.
#[tokio::test]
async fn bad_links_leave_no_memory_behind() {
    const ROUNDS: usize = 100;
    let fixture = PeerFixture::start().await;
    let largest = u32::try_from(MAX_FRAME_LEN).unwrap().to_be_bytes();
    let part = vec![8; 512 << 10];
    let mut before = 0;
    for round in 0..2 * ROUNDS {
        if round == ROUNDS {
            before = fixture.daemon.resident_bytes();
        }
        let mut stream = fixture.connect().await;
        stream.write_all(&largest).await.unwrap();
        stream.write_all(&part).await.unwrap();
        stream.shutdown().await.unwrap();
        read_to_end(&mut stream).await;
        let (mut link, _) = fixture.connect_with_hello(&format!("vm-{round}")).await;
        let pools = (0..100).map(|pool| {
            Ok(frame(
                0,
                Body::Digest(Digest {
                    pool: format!("pool-{round}-{pool}"),
                    waiting: vec![1; 8],
                    ..Digest::default()
                }),
            ))
        });
        link.send_all(&mut futures_util::stream::iter(pools))
            .await
            .unwrap();
        link.send(Frame::default()).await.unwrap();
        while let Some(Ok(_)) = link.next().await {}
    }
    let labels = ["reason=\"frame\""];
    let all = u64::try_from(2 * ROUNDS).unwrap();
    fixture.daemon.wait_counter(CLOSED, &labels, all).await;
    // Half of the size of all partial frames of the second half of the rounds.
    let growth = fixture.daemon.resident_bytes().saturating_sub(before);
    let max_growth = u64::try_from(ROUNDS * part.len() / 2).unwrap();
    assert!(growth < max_growth, "memory grew by {growth} bytes");
    let serves = async || {
        fixture.daemon.assert_serves().await;
        true
    };
    poll_until("a served call", || fixture.daemon.log(), serves).await;
}
