//! Differences between two sheets, and their summary for logs.

use std::collections::BTreeMap;
use std::fmt;

use crate::{Name, Sheet};

/// Largest number of names that the summary lists for one kind of change.
const MAX_NAMES: usize = 5;

/// The differences between two sheets by kind of row.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SheetDiff {
    /// Revisions of the older and of the newer sheet.
    pub revisions: (u64, u64),
    /// Differences of the kinds that differ, in the order zone, tier, workspace, key, pool, target,
    /// route.
    pub kinds: Vec<KindDiff>,
}

/// Names of rows of one kind that differ.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KindDiff {
    /// Kind, as in the `kind` column.
    pub kind: &'static str,
    /// Names that only the newer sheet has.
    pub added: Vec<Name>,
    /// Names that only the older sheet has.
    pub removed: Vec<Name>,
    /// Names that both sheets have with different content.
    pub changed: Vec<Name>,
}

impl Sheet {
    /// Compares this sheet with a newer one.
    #[must_use]
    pub fn diff(&self, newer: &Sheet) -> SheetDiff {
        let kinds = [
            compare("zone", by_name(&self.zones), by_name(&newer.zones)),
            compare("tier", tier_ranks(self), tier_ranks(newer)),
            compare(
                "workspace",
                by_name(&self.workspaces),
                by_name(&newer.workspaces),
            ),
            compare("key", keys_by_name(self), keys_by_name(newer)),
            compare("pool", by_name(&self.pools), by_name(&newer.pools)),
            compare("target", by_name(&self.targets), by_name(&newer.targets)),
            compare("route", routes_by_path(self), routes_by_path(newer)),
        ];
        SheetDiff {
            revisions: (self.revision, newer.revision),
            kinds: kinds.into_iter().flatten().collect(),
        }
    }
}

fn by_name<T>(rows: &BTreeMap<Name, T>) -> BTreeMap<&Name, &T> {
    rows.iter().collect()
}

fn tier_ranks(sheet: &Sheet) -> BTreeMap<&Name, usize> {
    let tiers = sheet.tiers.iter().enumerate();
    tiers.map(|(rank, tier)| (&tier.name, rank)).collect()
}

fn keys_by_name(sheet: &Sheet) -> BTreeMap<&Name, impl PartialEq> {
    let keys = sheet.keys.iter();
    keys.map(|(hash, key)| (&key.name, (hash, key))).collect()
}

fn routes_by_path(sheet: &Sheet) -> BTreeMap<&Name, impl PartialEq> {
    let routes = sheet.routes.iter();
    routes.map(|route| (&route.path, route)).collect()
}

fn compare<T: PartialEq>(
    kind: &'static str,
    older: BTreeMap<&Name, T>,
    mut newer: BTreeMap<&Name, T>,
) -> Option<KindDiff> {
    let (mut removed, mut changed) = (Vec::new(), Vec::new());
    for (name, row) in older {
        match newer.remove(name) {
            None => removed.push(name.clone()),
            Some(other) if other != row => changed.push(name.clone()),
            Some(_) => {}
        }
    }
    let added: Vec<Name> = newer.into_keys().cloned().collect();
    let differs = !(added.is_empty() && removed.is_empty() && changed.is_empty());
    differs.then_some(KindDiff {
        kind,
        added,
        removed,
        changed,
    })
}

impl fmt::Display for SheetDiff {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "revision {} to {}: ", self.revisions.0, self.revisions.1)?;
        if self.kinds.is_empty() {
            return f.write_str("no rows differ");
        }
        let mut separator = "";
        for diff in &self.kinds {
            let changes = [
                ("added", &diff.added),
                ("removed", &diff.removed),
                ("changed", &diff.changed),
            ];
            for (change, names) in changes {
                if names.is_empty() {
                    continue;
                }
                let (kind, count) = (diff.kind, names.len());
                write!(f, "{separator}{kind} {count} {change} (")?;
                f.write_str(&names[..count.min(MAX_NAMES)].join(", "))?;
                f.write_str(if count > MAX_NAMES { ", ...)" } else { ")" })?;
                separator = "; ";
            }
        }
        Ok(())
    }
}
