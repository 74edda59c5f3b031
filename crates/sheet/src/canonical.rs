//! Canonical form and content hash of a sheet.

use std::fmt;
use std::time::Duration;

use sha2::{Digest, Sha256};

use crate::column::{Column, Kind};
use crate::{Access, ContentHash, KeyState, PoolKind, Sheet, TargetState, ZoneState};

/// One row of the canonical form.
struct CanonicalRow([String; Column::ALL.len()]);

impl CanonicalRow {
    fn new(kind: Kind, name: &str) -> Self {
        let cells = Self(std::array::from_fn(|_| String::new()));
        cells.set(Column::Kind, kind.name()).set(Column::Name, name)
    }

    fn set(mut self, column: Column, value: impl Into<String>) -> Self {
        self.0[column as usize] = value.into();
        self
    }
}

impl Sheet {
    /// The canonical form, which parses back to an equal sheet.
    ///
    /// It has all columns, commas between cells, LF line ends, and no empty cells at the end of a
    /// row. Rows are grouped by kind; tiers are in the order of rank, routes in the order of
    /// [`Sheet::routes`], and all other kinds in the order of the maps.
    #[must_use]
    pub fn to_csv(&self) -> String {
        let mut out = Column::ALL.map(Column::name).join(",");
        out.push('\n');
        for row in self.rows() {
            let last = row.0.iter().rposition(|cell| !cell.is_empty());
            for (column, cell) in row.0[..=last.unwrap_or(0)].iter().enumerate() {
                if column > 0 {
                    out.push(',');
                }
                write_cell(&mut out, cell);
            }
            out.push('\n');
        }
        out
    }

    /// Computes the SHA-256 of the canonical form. [`Sheet::parse`] stores it in [`Sheet::hash`].
    #[must_use]
    pub fn content_hash(&self) -> ContentHash {
        hash_canonical(&self.to_csv())
    }

    fn rows(&self) -> impl Iterator<Item = CanonicalRow> {
        let sheet = CanonicalRow::new(Kind::Sheet, &self.title)
            .set(Column::Revision, self.revision.to_string());
        let zones = self.zones.iter().map(|(name, zone)| {
            let state = match zone.state {
                ZoneState::In => "in",
                ZoneState::Out => "out",
            };
            CanonicalRow::new(Kind::Zone, name).set(Column::State, state)
        });
        let tiers = self.tiers.iter();
        let tiers = tiers.map(|tier| CanonicalRow::new(Kind::Tier, &tier.name));
        let workspaces = self.workspaces.iter().map(|(name, workspace)| {
            CanonicalRow::new(Kind::Workspace, name)
                .set(Column::Rate, workspace.rate.to_string())
                .set(Column::Burst, workspace.burst.to_string())
        });
        let pools = self.pools.iter().map(|(name, pool)| {
            let kind = match pool.kind {
                PoolKind::Engine => "engine",
                PoolKind::Service => "service",
            };
            CanonicalRow::new(Kind::Pool, name).set(Column::State, kind)
        });
        std::iter::once(sheet)
            .chain(zones)
            .chain(tiers)
            .chain(workspaces)
            .chain(self.key_rows())
            .chain(pools)
            .chain(self.target_rows())
            .chain(self.route_rows())
    }

    fn key_rows(&self) -> impl Iterator<Item = CanonicalRow> {
        self.keys.iter().map(|(hash, key)| {
            let state = match key.state {
                KeyState::Active => "active",
                KeyState::Withdrawn => "withdrawn",
            };
            CanonicalRow::new(Kind::Key, &key.name)
                .set(Column::Workspace, &*key.workspace)
                .set(Column::Tier, self.tier_name(key.highest_tier))
                .set(Column::State, state)
                .set(Column::Sha256, hex::encode(hash))
        })
    }

    fn target_rows(&self) -> impl Iterator<Item = CanonicalRow> {
        self.targets.iter().map(|(name, target)| {
            let state = match target.state {
                TargetState::In => "in",
                TargetState::Leaving => "leaving",
            };
            CanonicalRow::new(Kind::Target, name)
                .set(Column::Pool, &*target.pool)
                .set(Column::Zone, &*target.zone)
                .set(Column::Address, target.address.to_string())
                .set(Column::State, state)
                .set(Column::Capacity, target.capacity.to_string())
                .set(Column::ColdLimit, target.cold_limit.to_string())
                .set(Column::Speed, target.speed.to_string())
                .set(Column::Fencing, yes_no(target.fencing))
        })
    }

    fn route_rows(&self) -> impl Iterator<Item = CanonicalRow> {
        self.routes.iter().map(|route| {
            let access = match route.access {
                Access::Open => "open",
                Access::Keyed => "keyed",
            };
            CanonicalRow::new(Kind::Route, &route.path)
                .set(Column::Pool, &*route.pool)
                .set(Column::Tier, self.tier_name(route.tier))
                .set(Column::Access, access)
                .set(Column::Idempotent, yes_no(route.idempotent))
                .set(Column::MaxBody, format_size(route.max_body))
                .set(Column::MaxTokens, route.max_tokens.to_string())
                .set(Column::Deadline, format_duration(route.deadline))
        })
    }

    /// Name of the tier with this rank; empty if there is none.
    fn tier_name(&self, rank: u8) -> &str {
        self.tiers
            .get(usize::from(rank))
            .map_or("", |tier| &*tier.name)
    }
}

impl fmt::Display for ContentHash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&hex::encode(self.0))
    }
}

/// SHA-256 of a sheet in canonical form.
pub(crate) fn hash_canonical(csv: &str) -> ContentHash {
    ContentHash(Sha256::digest(csv).into())
}

fn write_cell(out: &mut String, cell: &str) {
    if cell.contains([',', ';', '"', '\n', '\r']) {
        out.push('"');
        out.push_str(&cell.replace('"', "\"\""));
        out.push('"');
    } else {
        out.push_str(cell);
    }
}

fn yes_no(value: bool) -> &'static str {
    if value { "yes" } else { "no" }
}

/// Formats a size exactly, in the largest unit that divides it.
fn format_size(bytes: u64) -> String {
    let units = [(30, "GiB"), (20, "MiB"), (10, "KiB")];
    let divides = |shift: u32| bytes != 0 && bytes.trailing_zeros() >= shift;
    match units.into_iter().find(|&(shift, _)| divides(shift)) {
        Some((shift, unit)) => format!("{}{unit}", bytes >> shift),
        None => format!("{bytes}B"),
    }
}

/// Formats a duration of whole milliseconds.
fn format_duration(duration: Duration) -> String {
    match duration.subsec_millis() {
        0 => format!("{}s", duration.as_secs()),
        _ => format!("{}ms", duration.as_millis()),
    }
}
