//! Lookups in an accepted sheet.

use std::borrow::Cow;

use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;

use crate::{Key, KeyState, Name, Route, Sheet, Target, TargetState, ZoneState};

/// SHA-256 of a caller's key, as in the `sha256` column.
#[must_use]
pub fn key_hash(key: &[u8]) -> [u8; 32] {
    Sha256::digest(key).into()
}

impl Sheet {
    /// The key with this SHA-256, whether it is active or withdrawn.
    ///
    /// The index is searched by the first two bytes only, and whole hashes are compared in constant
    /// time. The response time therefore doesn't reveal anything about the other 30 bytes.
    #[must_use]
    pub fn key(&self, sha256: &[u8; 32]) -> Option<&Key> {
        let (mut first, mut last) = ([0; 32], [0xff; 32]);
        first[..2].copy_from_slice(&sha256[..2]);
        last[..2].copy_from_slice(&sha256[..2]);
        let mut found = None;
        for (hash, key) in self.keys.range(first..=last) {
            if bool::from(hash.ct_eq(sha256)) {
                found = Some(key);
            }
        }
        found
    }

    /// The key with this SHA-256, unless it was withdrawn.
    #[must_use]
    pub fn active_key(&self, sha256: &[u8; 32]) -> Option<&Key> {
        self.key(sha256).filter(|key| key.state == KeyState::Active)
    }

    /// The route with the longest path prefix that matches whole segments of `path`.
    ///
    /// Percent escapes are decoded before matching, and the query is ignored. A path with empty or
    /// dot segments, or with an escaped separator, has no route: a target could resolve it to the
    /// path of another route and so bypass the access check of that route.
    #[must_use]
    pub fn route(&self, path: &str) -> Option<&Route> {
        let path = path.split_once('?').map_or(path, |(path, _)| path);
        let path = percent_decode(path.as_bytes())?;
        if !is_normalized(&path) {
            return None;
        }
        self.routes
            .iter()
            .find(|route| has_path_prefix(&path, route.path.as_bytes()))
    }

    /// The rank of the tier with this name; 0 is the highest.
    #[must_use]
    pub fn tier_rank(&self, name: &str) -> Option<u8> {
        let rank = self.tiers.iter().position(|tier| &*tier.name == name)?;
        u8::try_from(rank).ok()
    }

    /// The targets of a pool, in the order of their names.
    pub fn targets_in_pool<'a>(
        &'a self,
        pool: &'a str,
    ) -> impl Iterator<Item = (&'a Name, &'a Target)> {
        self.targets.iter().filter(move |(_, t)| &*t.pool == pool)
    }

    /// Whether a target may get new work: it exists, it isn't leaving, and its zone isn't out.
    #[must_use]
    pub fn takes_new_work(&self, target: &str) -> bool {
        let Some(target) = self.targets.get(target) else {
            return false;
        };
        let zone = self.zones.get(&target.zone);
        target.state == TargetState::In && zone.is_some_and(|zone| zone.state == ZoneState::In)
    }
}

/// Whether a path equals a prefix or extends it by whole segments.
pub(crate) fn has_path_prefix(path: &[u8], prefix: &[u8]) -> bool {
    match path.strip_prefix(prefix) {
        Some(rest) => rest.is_empty() || rest[0] == b'/' || prefix == b"/",
        None => false,
    }
}

/// Decodes percent escapes; `None` if an escape is malformed, or stands for a separator or a NUL
/// byte.
fn percent_decode(path: &[u8]) -> Option<Cow<'_, [u8]>> {
    if !path.contains(&b'%') {
        return Some(Cow::Borrowed(path));
    }
    let mut out = Vec::with_capacity(path.len());
    let mut rest = path;
    while let Some((&byte, tail)) = rest.split_first() {
        rest = tail;
        if byte != b'%' {
            out.push(byte);
            continue;
        }
        let mut code = [0];
        hex::decode_to_slice(rest.get(..2)?, &mut code).ok()?;
        if matches!(code[0], b'/' | b'\\' | 0) {
            return None;
        }
        out.push(code[0]);
        rest = &rest[2..];
    }
    Some(Cow::Owned(out))
}

/// Whether a decoded path is absolute and has no segments that servers resolve differently, such
/// as dot segments.
pub(crate) fn is_normalized(path: &[u8]) -> bool {
    let Some(rest) = path.strip_prefix(b"/") else {
        return false;
    };
    if rest.contains(&b'\\') {
        return false;
    }
    let mut segments = rest.split(|&byte| byte == b'/').peekable();
    while let Some(segment) = segments.next() {
        // Some servers remove path parameters first, so that `..;x` becomes `..`.
        let name = segment.split(|&byte| byte == b';').next().unwrap_or(b"");
        let last = segments.peek().is_none();
        if matches!(name, b"." | b"..") || (segment.is_empty() && !last) {
            return false;
        }
    }
    true
}
