use std::collections::BTreeMap;
use std::net::SocketAddr;

use sha2::{Digest, Sha256};

/// Columns of a sheet, in the order in which they are written.
const COLUMNS: [&str; 21] = [
    "kind",
    "name",
    "workspace",
    "pool",
    "zone",
    "address",
    "tier",
    "rate",
    "burst",
    "state",
    "access",
    "idempotent",
    "max_body",
    "max_tokens",
    "deadline",
    "capacity",
    "cold_limit",
    "speed",
    "fencing",
    "sha256",
    "revision",
];

/// Values of a target row.
#[derive(Clone, Debug)]
pub struct TargetRow {
    /// Pool that it belongs to.
    pub pool: String,
    /// Availability zone.
    pub zone: String,
    /// Address that it listens on.
    pub address: SocketAddr,
    /// Maximum number of tokens in flight.
    pub capacity: u64,
    /// Maximum number of requests in flight while it is cold.
    pub cold_limit: u32,
    /// Speed relative to other targets.
    pub speed: f64,
    /// Whether it checks fencing tokens and rejects outdated ones.
    pub fencing: bool,
}

impl TargetRow {
    /// A target with speed 1, a cold limit of 4 and fencing enabled.
    #[must_use]
    pub fn new(pool: &str, zone: &str, address: SocketAddr, capacity: u64) -> Self {
        Self {
            pool: pool.to_owned(),
            zone: zone.to_owned(),
            address,
            capacity,
            cold_limit: 4,
            speed: 1.0,
            fencing: true,
        }
    }
}

/// Values of a route row.
#[derive(Clone, Debug)]
pub struct RouteRow {
    /// Pool that it belongs to.
    pub pool: String,
    /// Tier of requests that don't specify one.
    pub tier: String,
    /// Whether callers need a key.
    pub keyed: bool,
    /// Whether repeating a call has the same effect as making it once.
    pub idempotent: bool,
    /// Maximum body size, with unit.
    pub max_body: String,
    /// Maximum number of output tokens, or the cost of one call to a plain service.
    pub max_tokens: u64,
    /// Deadline for the first byte of the response, with unit.
    pub deadline: String,
}

impl RouteRow {
    /// A keyed, non-idempotent route with bodies up to 1 MiB, 4096 output tokens and a deadline of
    /// 30 s.
    #[must_use]
    pub fn new(pool: &str, tier: &str) -> Self {
        Self {
            pool: pool.to_owned(),
            tier: tier.to_owned(),
            keyed: true,
            idempotent: false,
            max_body: "1MiB".to_owned(),
            max_tokens: 4096,
            deadline: "30s".to_owned(),
        }
    }
}

#[derive(Clone, Debug)]
struct Row {
    kind: &'static str,
    name: String,
    fields: BTreeMap<&'static str, String>,
}

/// Builds a sheet as CSV text. Rows can be changed later to publish further revisions.
///
/// ```
/// use testkit::{RouteRow, SheetBuilder, TargetRow};
///
/// let mut sheet = SheetBuilder::new("site");
/// sheet
///     .zone("zone-a")
///     .tier("quick")
///     .tier("long")
///     .workspace("w1", 1000, 5000)
///     .key("k1", "w1", "quick", "plain text of the key")
///     .engine_pool("llm")
///     .target("llm-1", &TargetRow::new("llm", "zone-a", "127.0.0.1:9000".parse().unwrap(), 8192))
///     .route("/v1/chat/completions", &RouteRow::new("llm", "long"));
/// assert!(sheet.csv().starts_with("kind,name,"));
/// sheet.withdraw_key("k1").increment_revision();
/// assert_eq!(sheet.revision(), 2);
/// ```
#[derive(Clone, Debug)]
pub struct SheetBuilder {
    title: String,
    revision: u64,
    rows: Vec<Row>,
}

impl SheetBuilder {
    /// A sheet with revision 1 and no rows besides its title.
    #[must_use]
    pub fn new(title: &str) -> Self {
        Self {
            title: title.to_owned(),
            revision: 1,
            rows: Vec::new(),
        }
    }

    /// Revision of the sheet.
    #[must_use]
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Sets the revision.
    pub fn set_revision(&mut self, revision: u64) -> &mut Self {
        self.revision = revision;
        self
    }

    /// Increments the revision.
    pub fn increment_revision(&mut self) -> &mut Self {
        self.set_revision(self.revision + 1)
    }

    /// Adds an availability zone with state `in`.
    pub fn zone(&mut self, name: &str) -> &mut Self {
        self.insert_row("zone", name, [("state", "in".to_owned())])
    }

    /// Sets the state of an availability zone to `in` or `out`.
    pub fn set_zone(&mut self, name: &str, is_in: bool) -> &mut Self {
        let state = if is_in { "in" } else { "out" };
        self.set_cell("zone", name, "state", state)
    }

    /// Adds a tier with a lower priority than the tiers added before.
    pub fn tier(&mut self, name: &str) -> &mut Self {
        self.insert_row("tier", name, [])
    }

    /// Adds a workspace with its rate in tokens per second and its burst in tokens.
    pub fn workspace(&mut self, name: &str, rate: u64, burst: u64) -> &mut Self {
        let fields = [("rate", rate.to_string()), ("burst", burst.to_string())];
        self.insert_row("workspace", name, fields)
    }

    /// Adds an active key. The sheet contains only the SHA-256 hash of the plain text.
    pub fn key(&mut self, name: &str, workspace: &str, tier: &str, plain: &str) -> &mut Self {
        let fields = [
            ("workspace", workspace.to_owned()),
            ("tier", tier.to_owned()),
            ("state", "active".to_owned()),
            ("sha256", hex::encode(Sha256::digest(plain.as_bytes()))),
        ];
        self.insert_row("key", name, fields)
    }

    /// Sets the state of a key to `withdrawn`.
    pub fn withdraw_key(&mut self, name: &str) -> &mut Self {
        self.set_cell("key", name, "state", "withdrawn")
    }

    /// Adds a pool of engines.
    pub fn engine_pool(&mut self, name: &str) -> &mut Self {
        self.insert_row("pool", name, [("state", "engine".to_owned())])
    }

    /// Adds a pool of plain services.
    pub fn service_pool(&mut self, name: &str) -> &mut Self {
        self.insert_row("pool", name, [("state", "service".to_owned())])
    }

    /// Adds a target with state `in`.
    pub fn target(&mut self, name: &str, row: &TargetRow) -> &mut Self {
        let fields = [
            ("pool", row.pool.clone()),
            ("zone", row.zone.clone()),
            ("address", row.address.to_string()),
            ("state", "in".to_owned()),
            ("capacity", row.capacity.to_string()),
            ("cold_limit", row.cold_limit.to_string()),
            ("speed", row.speed.to_string()),
            ("fencing", yes_no(row.fencing)),
        ];
        self.insert_row("target", name, fields)
    }

    /// Sets the state of a target to `leaving` or `in`.
    pub fn set_target_leaving(&mut self, name: &str, leaving: bool) -> &mut Self {
        let state = if leaving { "leaving" } else { "in" };
        self.set_cell("target", name, "state", state)
    }

    /// Adds a route for a path prefix.
    pub fn route(&mut self, path: &str, row: &RouteRow) -> &mut Self {
        let access = if row.keyed { "keyed" } else { "open" };
        let fields = [
            ("pool", row.pool.clone()),
            ("access", access.to_owned()),
            ("idempotent", yes_no(row.idempotent)),
            ("max_body", row.max_body.clone()),
            ("max_tokens", row.max_tokens.to_string()),
            ("deadline", row.deadline.clone()),
            ("tier", row.tier.clone()),
        ];
        self.insert_row("route", path, fields)
    }

    /// Changes a single cell.
    ///
    /// # Panics
    /// Panics if the row or the column does not exist.
    pub fn set_cell(&mut self, kind: &str, name: &str, column: &str, value: &str) -> &mut Self {
        let column = COLUMNS.iter().find(|known| **known == column);
        let column = column.unwrap_or_else(|| panic!("no such column in {COLUMNS:?}"));
        let row = self
            .rows
            .iter_mut()
            .find(|row| row.kind == kind && row.name == name);
        let row = row.unwrap_or_else(|| panic!("no {kind} row named {name:?}"));
        row.fields.insert(column, value.to_owned());
        self
    }

    /// Removes a row if it exists.
    pub fn remove_row(&mut self, kind: &str, name: &str) -> &mut Self {
        self.rows.retain(|row| row.kind != kind || row.name != name);
        self
    }

    /// The sheet as CSV text.
    #[must_use]
    #[expect(clippy::missing_panics_doc, reason = "writing to memory does not fail")]
    pub fn csv(&self) -> String {
        let mut writer = csv::Writer::from_writer(Vec::new());
        let sheet_row = Row {
            kind: "sheet",
            name: self.title.clone(),
            fields: BTreeMap::from([("revision", self.revision.to_string())]),
        };
        writer
            .write_record(COLUMNS)
            .expect("writing to memory does not fail");
        for row in std::iter::once(&sheet_row).chain(&self.rows) {
            let cells = COLUMNS.map(|column| match column {
                "kind" => row.kind,
                "name" => &row.name,
                _ => row.fields.get(column).map_or("", String::as_str),
            });
            writer
                .write_record(cells)
                .expect("writing to memory does not fail");
        }
        let bytes = writer
            .into_inner()
            .expect("writing to memory does not fail");
        String::from_utf8(bytes).expect("all cells are UTF-8")
    }

    fn insert_row<const N: usize>(
        &mut self,
        kind: &'static str,
        name: &str,
        fields: [(&'static str, String); N],
    ) -> &mut Self {
        self.remove_row(kind, name);
        self.rows.push(Row {
            kind,
            name: name.to_owned(),
            fields: BTreeMap::from(fields),
        });
        self
    }
}

fn yes_no(value: bool) -> String {
    if value { "yes" } else { "no" }.to_owned()
}
