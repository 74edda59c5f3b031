//! Validates messages before they are used.
//!
//! A message that no daemon of this protocol version sends shows that the peer is faulty, so its
//! link is closed. An unknown workspace, pool or target is no fault: two daemons may have different
//! sheets for a while.

use std::net::SocketAddr;

use limit::PARTS;
use wire::{Body, Hello, PartClaim};

/// Longest name of a VM, zone, workspace, pool or target.
const MAX_NAME: usize = 64;

/// Longest request id: an incarnation, a separator and the random part.
const MAX_ID: usize = 16 + 1 + 64;

/// Longest time that an offer may name, in microseconds. An entry's deadline and run take 15 min at
/// most; an owner reserves the capacity of a permit for as long as the offer says.
const MAX_OFFER_US: u64 = 20 * 60 * 1_000_000;

/// Most tiers of a sheet.
const MAX_TIERS: usize = 8;

type Validation = Result<(), &'static str>;

/// Validates the hello of a peer. Its VM name is written to the log.
pub(super) fn hello(hello: &Hello) -> Validation {
    let plain = |b: u8| b.is_ascii_alphanumeric() || b"-_.".contains(&b);
    let valid = !hello.vm.is_empty() && hello.vm.bytes().all(plain);
    require(valid, "the hello has no valid VM name")?;
    name(&hello.vm)
}

/// Validates the content of a frame after the hello.
pub(super) fn body(body: Option<Body>) -> Result<Body, &'static str> {
    let Some(body) = body else {
        return Err("a frame has no known content");
    };
    match &body {
        Body::Hello(_) => Err("a second hello came"),
        Body::Offer(offer) => {
            id(&offer.id)?;
            let longest = offer.deadline_us.max(offer.hard_deadline_us);
            require(
                longest <= MAX_OFFER_US,
                "an offer has a deadline too far ahead",
            )?;
            name(&offer.pool)?;
            name(&offer.workspace)
        }
        Body::Withdraw(withdraw) => {
            id(&withdraw.id)?;
            name(&withdraw.pool)
        }
        Body::Release(release) => {
            id(&release.id)?;
            name(&release.pool)?;
            name(&release.target)
        }
        Body::Digest(digest) => {
            require(
                digest.waiting.len() <= MAX_TIERS,
                "a digest has too many tiers",
            )?;
            name(&digest.pool)
        }
        Body::PartAsk(ask) => name(&ask.workspace),
        Body::PartMoves(moves) => moves.moves.iter().try_for_each(|part| {
            number(part.number)?;
            name(&part.workspace)
        }),
        Body::PartAck(ack) => {
            number(ack.number)?;
            name(&ack.workspace)
        }
        Body::PartClaims(claims) => claims.claims.iter().try_for_each(claim),
        Body::HandoverAsk(ask) => name(&ask.target),
        Body::Handover(handover) => name(&handover.target),
        Body::ListPush(push) => push.vms.iter().try_for_each(|row| {
            name(&row.name)?;
            name(&row.zone)?;
            address(&row.entry)?;
            address(&row.peer)
        }),
        Body::OutcomeAsk(ask) => id(&ask.id),
        Body::Suspect(suspect) => suspect.targets.iter().try_for_each(|target| name(target)),
        Body::PartQuery(query) => query.claims.iter().try_for_each(claim),
        Body::Heartbeat(_)
        | Body::OfferReply(_)
        | Body::SheetPush(_)
        | Body::OutcomeReply(_)
        | Body::SheetAsk(_)
        | Body::ListAsk(_) => Ok(()),
    }?;
    Ok(body)
}

fn claim(claim: &PartClaim) -> Validation {
    let paired = claim.numbers.len() == claim.epochs.len();
    require(paired, "a claim has not one epoch for each part")?;
    claim.numbers.iter().try_for_each(|n| number(*n))?;
    name(&claim.workspace)
}

fn require(valid: bool, text: &'static str) -> Validation {
    if valid { Ok(()) } else { Err(text) }
}

fn name(text: &str) -> Validation {
    require(text.len() <= MAX_NAME, "a name is too long")
}

fn id(text: &str) -> Validation {
    require(text.len() <= MAX_ID, "a request id is too long")
}

fn number(number: u32) -> Validation {
    require(number < u32::from(PARTS), "a part number is too large")
}

fn address(text: &str) -> Validation {
    let valid = text.parse::<SocketAddr>().is_ok();
    require(valid, "a VM has a malformed address")
}
