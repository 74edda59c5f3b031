//! Messages from a peer: valid, invalid, and well-formed with out-of-range values.

use bytes::Bytes;
use wire::{
    Body, Digest, Frame, HandoverAsk, Heartbeat, Hello, ListPush, Offer, OutcomeAsk,
    PROTOCOL_VERSION, PartAck, PartAsk, PartClaim, PartClaims, PartMove, PartMoves, Release,
    SheetPush, Suspect, VmRow, Withdraw,
};

pub fn hello(vm: &str) -> Body {
    Body::Hello(Hello {
        version: PROTOCOL_VERSION,
        vm: vm.into(),
        incarnation: 0xabc0_0000,
        zone: "zone-a".into(),
        entry: "127.0.0.1:1".into(),
    })
}

pub fn frame(seq: u64, body: Body) -> Frame {
    Frame {
        seq,
        body: Some(body),
    }
}

/// Frame bodies after the hello that break the protocol, each with the reason in the log.
pub fn invalid_messages() -> Vec<(Option<Body>, &'static str)> {
    let part_move = |number| PartMove {
        workspace: "w1".into(),
        number,
        ..PartMove::default()
    };
    let row = |entry: &str, peer: &str| VmRow {
        name: "vm-2".into(),
        zone: "zone-a".into(),
        leaving: false,
        entry: entry.into(),
        peer: peer.into(),
    };
    let push = |row: VmRow| {
        Some(Body::ListPush(ListPush {
            generation: 1000,
            age_us: 0,
            vms: vec![row],
        }))
    };
    let long_name = "x".repeat(100);
    vec![
        (None, "a frame has no known content"),
        (Some(hello("vm-2")), "a second hello came"),
        (
            push(row("vm-2:1", "127.0.0.1:1")),
            "a VM has a malformed address",
        ),
        (push(row("127.0.0.1:1", "")), "a VM has a malformed address"),
        (
            Some(Body::PartMoves(PartMoves {
                moves: vec![part_move(0), part_move(32)],
                left: 0,
            })),
            "a part number is too large",
        ),
        (
            Some(Body::PartAck(PartAck {
                number: u32::MAX,
                ..PartAck::default()
            })),
            "a part number is too large",
        ),
        (
            Some(Body::PartClaims(PartClaims {
                claims: vec![PartClaim {
                    numbers: vec![1, 2],
                    epochs: vec![1],
                    ..PartClaim::default()
                }],
            })),
            "a claim has not one epoch for each part",
        ),
        (
            Some(Body::Digest(Digest {
                waiting: vec![0; 9],
                ..Digest::default()
            })),
            "a digest has too many tiers",
        ),
        (
            Some(Body::Offer(Offer {
                id: long_name.clone(),
                ..Offer::default()
            })),
            "a request id is too long",
        ),
        (
            Some(Body::Offer(Offer {
                hard_deadline_us: u64::MAX,
                ..Offer::default()
            })),
            "an offer has a deadline too far ahead",
        ),
        (
            Some(Body::PartAsk(PartAsk {
                workspace: long_name,
                tokens: 1,
            })),
            "a name is too long",
        ),
    ]
}

/// Well-formed messages with unknown names and the largest numbers.
pub fn out_of_range_messages(receiver: u64) -> Vec<Body> {
    let id = "0123456789abcdef-odd";
    let offer = |pool: &str, workspace: &str| {
        Body::Offer(Offer {
            id: format!("{id}-{pool}-{workspace}"),
            pool: pool.into(),
            tier: u32::MAX,
            workspace: workspace.into(),
            cost: u64::MAX,
            prompt: u64::MAX,
            prefix: u64::MAX,
            // An unused permit holds a slot until this deadline has passed.
            deadline_us: 1,
            hard_deadline_us: 1,
            fingerprint: u64::MAX,
            coarse_fingerprint: Some(u64::MAX),
        })
    };
    let moves = |workspace: &str, receiver| {
        let part = PartMove {
            workspace: workspace.into(),
            number: 31,
            epoch: u64::MAX,
            level_millis: u64::MAX,
            receiver,
            hops: u64::MAX,
        };
        Body::PartMoves(PartMoves {
            moves: vec![part],
            left: u64::MAX,
        })
    };
    vec![
        offer("llm", "w1"),
        offer("llm", "no-such-workspace"),
        offer("no-such-pool", ""),
        Body::Withdraw(Withdraw {
            id: id.into(),
            pool: "no-such-pool".into(),
        }),
        Body::Release(Release {
            pool: "llm".into(),
            permit: u64::MAX,
            end: u32::MAX,
            tokens: u64::MAX,
            first_token_us: Some(u64::MAX),
            token_gap_us: Some(u64::MAX),
            id: id.into(),
            owner: receiver,
            target: "no-such-target".into(),
        }),
        Body::Digest(Digest {
            pool: "llm".into(),
            free: u64::MAX,
            limit: 1,
            waiting: vec![u32::MAX; 8],
        }),
        Body::PartAsk(PartAsk {
            workspace: "no-such-workspace".into(),
            tokens: u64::MAX,
        }),
        Body::PartAsk(PartAsk {
            workspace: "w1".into(),
            tokens: u64::MAX,
        }),
        moves("no-such-workspace", receiver),
        moves("w1", 0),
        Body::PartAck(PartAck {
            workspace: "no-such-workspace".into(),
            number: 31,
            epoch: u64::MAX,
            hops: u64::MAX,
            taken: true,
        }),
        Body::HandoverAsk(HandoverAsk {
            target: "no-such-target".into(),
            list_generation: u64::MAX,
        }),
        Body::OutcomeAsk(OutcomeAsk { id: id.into() }),
        Body::Suspect(Suspect {
            fingerprint: 1,
            targets: vec!["no-such-target".into(); 3],
            remember_us: u64::MAX,
        }),
        Body::SheetPush(SheetPush {
            revision: u64::MAX,
            content: Bytes::from_static(b"kind,name\n\xff"),
            piece: u32::MAX,
            pieces: 0,
        }),
        Body::SheetAsk(u64::MAX),
        Body::ListAsk(0),
        Body::Heartbeat(Heartbeat {
            list_generation: 0,
            list_age_us: u64::MAX,
            sheet_revision: u64::MAX,
            ready: true,
            id_prefix: u64::MAX,
        }),
    ]
}
