//! Compact encoding of sightings: about 5 bytes each in place of 16.

use std::net::Ipv4Addr;

use crate::membership::Sighting;

/// What the receiver knows of a member: its incarnation and the newest sequence number.
pub(crate) type KnownSeq = (u64, u64);

/// Encodes sightings in order of address: the difference to the previous address, the lowest 16
/// bits of the incarnation, and the lowest 8 bits of the sequence number.
pub(crate) fn encode(sightings: &[Sighting]) -> Vec<u8> {
    let mut sorted: Vec<&Sighting> = sightings.iter().collect();
    sorted.sort_unstable_by_key(|sighting| sighting.ip);
    let mut buf = Vec::with_capacity(sorted.len() * 5);
    let mut previous = 0;
    for sighting in sorted {
        let ip = sighting.ip.to_bits();
        prost::encoding::encode_varint(u64::from(ip - previous), &mut buf);
        previous = ip;
        let [low, high, ..] = sighting.incarnation.to_le_bytes();
        let [seq, ..] = sighting.seq.to_le_bytes();
        buf.extend([low, high, seq]);
    }
    buf
}

/// Decodes sightings of members that the receiver knows; others are left out. Returns `None` if the
/// encoding is malformed.
pub(crate) fn decode(
    mut buf: &[u8],
    known: impl Fn(Ipv4Addr) -> Option<KnownSeq>,
) -> Option<Vec<Sighting>> {
    let mut sightings = Vec::new();
    let mut previous: u32 = 0;
    while !buf.is_empty() {
        let step = prost::encoding::decode_varint(&mut buf).ok()?;
        previous = previous.checked_add(u32::try_from(step).ok()?)?;
        let ([low, high, seq], rest) = buf.split_first_chunk::<3>()?;
        buf = rest;
        let ip = Ipv4Addr::from_bits(previous);
        let Some((incarnation, known_seq)) = known(ip) else {
            continue;
        };
        let [known_low, known_high, a, b, ..] = incarnation.to_le_bytes();
        if [known_low, known_high] == [*low, *high] {
            sightings.push(Sighting {
                ip,
                incarnation: u32::from_le_bytes([*low, *high, a, b]),
                seq: nearest(known_seq, *seq),
            });
        }
    }
    Some(sightings)
}

/// The number with the given lowest 8 bits that is nearest to the known one. Sightings are younger
/// than the 32 s after which this is ambiguous; one that is taken for older has no effect.
fn nearest(known: u64, low: u8) -> u64 {
    let [known_low, ..] = known.to_le_bytes();
    let ahead = low.wrapping_sub(known_low);
    if ahead < 128 {
        known.saturating_add(ahead.into())
    } else {
        known.saturating_sub((known_low.wrapping_sub(low)).into())
    }
}
