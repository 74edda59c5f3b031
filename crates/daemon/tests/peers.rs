//! Peers that break the protocol: their links are closed, and the daemon goes on.

mod support;

use std::net::SocketAddr;

use bytes::BytesMut;
use futures_util::{SinkExt, StreamExt};
use serde_json::{Value, json};
use support::LONG;
use support::messages::{bad_messages, frame, hello, odd_messages};
use support::single::{Single, read_to_end, wait};
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

/// A daemon of a fleet whose list has no other VM.
struct Lone {
    single: Single,
    vms: VmListService,
}

fn timing() -> Value {
    let mut timing = fast_timing();
    timing["load_poll"] = "50ms".into();
    timing
}

impl Lone {
    async fn start() -> Lone {
        let vms = VmListService::start(SocketAddr::from(([127, 0, 0, 1], 0)));
        let vms = vms.await.unwrap();
        let mut single = Single::prepare().await;
        vms.upsert(listed("vm-1", single.entry, single.peer));
        single.spawn(&json!({
            "peer": single.peer,
            "vm_list": vms.addr(),
            "timing": timing(),
            "log": { "level": "info" },
        }));
        single.wait_ready().await;
        Lone { single, vms }
    }

    async fn connect(&self) -> TcpStream {
        TcpStream::connect(self.single.peer).await.unwrap()
    }

    /// A link that has exchanged hellos, and the daemon's hello.
    async fn link(&self, vm: &str) -> (Framed<TcpStream, FrameCodec>, Hello) {
        let mut framed = Framed::new(self.connect().await, FrameCodec::default());
        framed.send(frame(0, hello(vm))).await.unwrap();
        match framed.next().await.unwrap().unwrap().body {
            Some(Body::Hello(hello)) => (framed, hello),
            other => panic!("no hello but {other:?}"),
        }
    }

    /// Checks that one line tells why a link was closed.
    async fn assert_closed(&self, who: &str, reason: &str) {
        let line = format!("peer: link with {who} closed: {reason}");
        self.single.wait_log(&line, 1).await;
        let lines = self
            .single
            .log()
            .matches(&format!("link with {who} "))
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

fn newer() -> Body {
    Body::Hello(Hello {
        version: PROTOCOL_VERSION + 1,
        vm: "vm-2".into(),
        ..Hello::default()
    })
}

/// Guards against a link that stays open although nothing it carries can be used, against lines
/// in the log that a peer writes, and against a fault of one link that reaches others.
#[tokio::test]
async fn bad_first_frames_close_the_link() {
    let lone = Lone::start().await;
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
        (encode(newer()), "it speaks protocol version 2, not 1"),
        (encode(hello("")), "the hello has no valid VM name"),
        (
            encode(hello("vm-2\nentry: forged")),
            "the hello has no valid VM name",
        ),
        (encode(hello(&"v".repeat(65))), "a name is too long"),
        (Vec::new(), "no hello came"),
    ];
    for (bytes, reason) in cases {
        let mut stream = lone.connect().await;
        let who = stream.local_addr().unwrap().to_string();
        stream.write_all(&bytes).await.unwrap();
        if reason.contains("ended inside") {
            stream.shutdown().await.unwrap();
        }
        read_to_end(&mut stream).await;
        lone.assert_closed(&who, reason).await;
    }
    assert!(!lone.single.log().contains("\nentry: forged"));
    lone.single.assert_serves().await;
}

/// Guards against messages that no daemon sends being used or kept.
#[tokio::test]
async fn bad_messages_close_the_link() {
    let lone = Lone::start().await;
    let generation = lone.single.status().await["list_generation"].clone();
    for (at, (body, reason)) in bad_messages().into_iter().enumerate() {
        let vm = format!("vm-bad-{at}");
        let (mut link, _) = lone.link(&vm).await;
        link.send(Frame { seq: 0, body }).await.unwrap();
        while let Some(Ok(_)) = link.next().await {}
        lone.assert_closed(&vm, reason).await;
    }
    let labels = ["reason=\"message\""];
    assert_eq!(lone.single.counter(CLOSED, &labels).await, 11);
    assert_eq!(lone.single.status().await["list_generation"], generation);
    lone.single.assert_serves().await;
}

/// Guards against links that stay open to a peer that is silent or does not read.
#[tokio::test]
async fn silent_and_stuck_links_are_closed() {
    let lone = Lone::start().await;

    let (mut silent, _) = lone.link("vm-silent").await;
    while let Some(Ok(_)) = silent.next().await {}
    lone.assert_closed("vm-silent", "nothing came for too long")
        .await;

    let (mut stuck, _) = lone.link("vm-stuck").await;
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
    tokio::time::timeout(LONG, flood)
        .await
        .expect("the daemon closes the link");
    lone.assert_closed("vm-stuck", "it does not read what is sent")
        .await;
    lone.single.assert_serves().await;
}

/// Guards against a peer whose answers break the protocol being taken as linked, on the side that
/// dials.
#[tokio::test]
async fn bad_answers_of_a_dialled_peer_close_the_link() {
    let lone = Lone::start().await;
    let listener = TcpListener::bind(SocketAddr::from(([127, 0, 0, 1], 0)));
    let listener = listener.await.unwrap();
    let address = listener.local_addr().unwrap();
    lone.vms.upsert(listed("vm-2", address, address));
    let good = encode(hello("vm-2"));
    let after = |bytes: &[u8]| [&good, bytes].concat();
    let cases = [
        (
            b"\0\0\0\x04\xff\xff\xff\xff".to_vec(),
            "a frame holds no valid message: ",
        ),
        (
            encode(Body::Heartbeat(Heartbeat::default())),
            "the first frame is no hello",
        ),
        (encode(newer()), "it speaks protocol version 2, not 1"),
        (encode(hello("vm-3")), "its address answers for another VM"),
        (Vec::new(), "no hello came"),
        (
            after(b"GET / HTTP/1.1"),
            "cannot read a frame: frame size too big",
        ),
        (after(b"\0\0\0\0"), "a frame has no known content"),
        (after(&good), "a second hello came"),
        (after(b""), "nothing came for too long"),
    ];
    for (bytes, reason) in cases {
        let (mut stream, _) = listener.accept().await.unwrap();
        stream.write_all(&bytes).await.unwrap();
        read_to_end(&mut stream).await;
        let text = format!("peer: link with vm-2 closed: {reason}");
        lone.single.wait_log(&text, 1).await;
    }
    let unlinked = |status: &Value| status["linked"] == json!([]);
    lone.single.wait_status("no link", unlinked).await;
}

/// Guards against a task of the daemon that panics on a value from a peer, such as by an overflow.
#[tokio::test]
async fn odd_values_do_no_harm() {
    let lone = Lone::start().await;
    let (mut link, own) = lone.link("vm-odd").await;
    let mut seq = 0;
    for body in odd_messages(own.incarnation) {
        // As a message, as a request, and before a request whose reply shows that it was taken.
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
        lone.single.assert_serves().await;
    }
    assert!(
        !lone.single.log().contains("panicked"),
        "{}",
        lone.single.log()
    );
    let rejected = lone.single.status().await["rejected_sheet"].clone();
    assert_eq!(rejected["revision"], u64::MAX);
}

/// Guards against memory that bad links leave behind.
#[tokio::test]
async fn bad_links_leave_no_memory_behind() {
    const ROUNDS: usize = 100;
    let lone = Lone::start().await;
    let largest = u32::try_from(MAX_FRAME_LEN).unwrap().to_be_bytes();
    let part = vec![8; 512 << 10];
    let mut before = 0;
    for round in 0..2 * ROUNDS {
        if round == ROUNDS {
            before = lone.single.resident();
        }
        let mut stream = lone.connect().await;
        stream.write_all(&largest).await.unwrap();
        stream.write_all(&part).await.unwrap();
        stream.shutdown().await.unwrap();
        read_to_end(&mut stream).await;
        let (mut link, _) = lone.link(&format!("vm-{round}")).await;
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
    lone.single.wait_counter(CLOSED, &labels, all).await;
    // Half of what the partial frames of the second half would take.
    let growth = lone.single.resident().saturating_sub(before);
    let most = u64::try_from(ROUNDS * part.len() / 2).unwrap();
    assert!(growth < most, "memory grew by {growth} bytes");
    let serves = async || {
        lone.single.assert_serves().await;
        true
    };
    wait("a served call", || lone.single.log(), serves).await;
}
