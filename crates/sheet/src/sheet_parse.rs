//! Parser of sheets: converts table rows to a checked [`Sheet`].

use std::collections::HashMap;
use std::net::SocketAddr;

use crate::canonical::hash_canonical;
use crate::cell::{self, DecimalSeparator, MAX_REQUESTS, MAX_REVISION, MAX_TOKENS};
use crate::column::{Column, Kind};
use crate::error::Errors;
use crate::table::{MAX_SHEET_BYTES, Row, Table};
use crate::{
    Access, Key, KeyState, Name, Pool, PoolKind, Route, Sheet, SheetError, SheetFault, Target,
    TargetState, Tier, Workspace, Zone, ZoneState, name,
};

/// Largest number of rows in a sheet. The design scale needs 17,400 rows for 12,000 targets, 2,700
/// workspaces and a key for each workspace. With names of usual length, [`MAX_SHEET_BYTES`] is
/// reached first.
pub const MAX_ROWS: usize = 20_000;

/// Largest number of tiers in a sheet.
pub const MAX_TIERS: usize = 8;

const YES_NO: [(&str, bool); 2] = [("yes", true), ("no", false)];

impl Sheet {
    /// Parses and checks a sheet: CSV with commas or semicolons, optionally with a byte-order mark.
    ///
    /// # Errors
    ///
    /// The errors in the order of the rows: at most [`MAX_ERRORS`](crate::MAX_ERRORS), and the
    /// number of the others.
    ///
    /// ```
    /// let csv = "kind;name;rate;burst;revision\n\
    ///            sheet;Riga;;;3\n\
    ///            workspace;salon-chain;1.500;10.000;\n";
    /// let sheet = sheet::Sheet::parse(csv.as_bytes()).unwrap();
    /// assert_eq!(sheet.revision, 3);
    /// assert_eq!(sheet.workspaces["salon-chain"].rate, 1500);
    /// ```
    pub fn parse(input: &[u8]) -> Result<Sheet, Vec<SheetError>> {
        let mut errors = Errors::default();
        let table = Table::parse(input, &mut errors);
        if let Some(table) = table.filter(|_| errors.is_empty()) {
            let mut builder = SheetBuilder::new(&table, errors);
            builder.read_names();
            builder.read_rows();
            errors = builder.errors;
            if errors.is_empty() {
                let mut sheet = builder.sheet;
                sheet.sort_routes();
                let csv = sheet.to_csv();
                if csv.len() <= MAX_SHEET_BYTES {
                    sheet.hash = hash_canonical(&csv);
                    return Ok(sheet);
                }
                errors.push(0, "", SheetFault::CanonicalTooLarge(csv.len()));
            }
        }
        Err(errors.into_sorted())
    }

    fn sort_routes(&mut self) {
        self.routes.sort_by(|a, b| {
            let by_length = b.path.len().cmp(&a.path.len());
            by_length.then_with(|| a.path.cmp(&b.path))
        });
    }
}

/// State of one parse.
struct SheetBuilder<'a> {
    table: &'a Table,
    decimal: DecimalSeparator,
    sheet: Sheet,
    errors: Errors,
    /// Rows with a valid kind.
    rows: Vec<(Kind, &'a Row)>,
    /// First row of each name. Includes names with errors, so that an error isn't reported again
    /// at each reference.
    names: HashMap<(Kind, &'a str), (usize, Name)>,
    /// Ranks of the tiers.
    tier_ranks: HashMap<&'a str, u8>,
    address_rows: HashMap<SocketAddr, usize>,
    hash_rows: HashMap<[u8; 32], usize>,
}

impl<'a> SheetBuilder<'a> {
    fn new(table: &'a Table, errors: Errors) -> Self {
        Self {
            table,
            decimal: table.decimal,
            sheet: Sheet::default(),
            errors,
            rows: Vec::new(),
            names: HashMap::new(),
            tier_ranks: HashMap::new(),
            address_rows: HashMap::new(),
            hash_rows: HashMap::new(),
        }
    }

    /// Collects the kinds and names of all rows before their cells are parsed, since rows may refer
    /// to later ones.
    fn read_names(&mut self) {
        let mut sheet_row = None;
        for row in &self.table.rows {
            let text = self.table.cell(row, Column::Kind);
            let Some(kind) = Kind::from_cell(text) else {
                let fault = SheetFault::UnknownKind(text.to_owned());
                self.errors.push(row.number, Column::Kind.name(), fault);
                continue;
            };
            if kind == Kind::Sheet {
                if let Some(first) = sheet_row {
                    let fault = SheetFault::DuplicateSheetRow(first);
                    self.errors.push(row.number, "", fault);
                    continue;
                }
                sheet_row = Some(row.number);
            }
            self.rows.push((kind, row));
            let name = self.table.cell(row, Column::Name);
            if name.is_empty() {
                continue;
            }
            if let Some(&(first, _)) = self.names.get(&(kind, name)) {
                let fault = SheetFault::DuplicateName {
                    kind: kind.name(),
                    name: name.to_owned(),
                    row: first,
                };
                self.errors.push(row.number, Column::Name.name(), fault);
                continue;
            }
            self.names.insert((kind, name), (row.number, name.into()));
            if kind == Kind::Tier {
                self.add_tier(name, row.number);
            }
        }
        if sheet_row.is_none() {
            self.errors.push(0, "", SheetFault::MissingSheetRow);
        }
    }

    fn add_tier(&mut self, name: &'a str, row: usize) {
        if self.tier_ranks.len() == MAX_TIERS {
            self.errors.push(row, "", SheetFault::TooManyTiers);
        }
        let rank = u8::try_from(self.tier_ranks.len()).unwrap_or(u8::MAX);
        self.tier_ranks.insert(name, rank);
    }

    fn read_rows(&mut self) {
        for (kind, row) in std::mem::take(&mut self.rows) {
            if !self.check_cells(kind, row) {
                continue;
            }
            // `None` means that an error was already recorded.
            let _: Option<()> = match kind {
                Kind::Sheet => self.sheet_row(row),
                Kind::Zone => self.zone(row),
                Kind::Tier => self.tier(row),
                Kind::Workspace => self.workspace(row),
                Kind::Key => self.key(row),
                Kind::Pool => self.pool(row),
                Kind::Target => self.target(row),
                Kind::Route => self.route(row),
            };
        }
    }

    /// Checks that the cells that `kind` uses have values, that the others are empty, and that no
    /// cell contains a line break.
    fn check_cells(&mut self, kind: Kind, row: &Row) -> bool {
        for column in Column::ALL {
            let text = self.table.cell(row, column);
            let fault = match (kind.uses(column), text.is_empty()) {
                _ if text.contains(['\n', '\r']) => {
                    // A missing closing quote merges rows into one cell, so errors in the other
                    // cells would be misleading.
                    self.errors
                        .push(row.number, column.name(), SheetFault::LineBreak);
                    return false;
                }
                (true, true) => SheetFault::MissingValue(kind.name()),
                (false, false) => SheetFault::UnusedValue(kind.name()),
                _ => continue,
            };
            self.errors.push(row.number, column.name(), fault);
        }
        true
    }

    /// Parses a cell; `None` if it is empty or has an error.
    fn parse_cell<T>(
        &mut self,
        row: &'a Row,
        column: Column,
        parse: impl FnOnce(&'a str) -> Result<T, SheetFault>,
    ) -> Option<T> {
        let text = self.table.cell(row, column);
        if text.is_empty() {
            return None;
        }
        match parse(text) {
            Ok(value) => Some(value),
            Err(fault) => {
                self.errors.push(row.number, column.name(), fault);
                None
            }
        }
    }

    fn whole_number(&mut self, row: &'a Row, column: Column, max: u64) -> Option<u64> {
        let decimal = self.decimal;
        self.parse_cell(row, column, |text| cell::whole_number(text, decimal, max))
    }

    fn choice<T: Copy>(&mut self, row: &'a Row, column: Column, words: &[(&str, T)]) -> Option<T> {
        self.parse_cell(row, column, |text| cell::choice(text, words))
    }

    fn name(&mut self, row: &'a Row, kind: Kind) -> Option<Name> {
        let text = self.parse_cell(row, Column::Name, name::parse_name)?;
        let shared = self.names.get(&(kind, text));
        shared.map(|(_, name)| name.clone())
    }

    /// Parses a cell that refers to a row by its kind and name.
    fn reference(&mut self, row: &'a Row, column: Column, kind: Kind) -> Option<Name> {
        let text = self.parse_cell(row, column, Ok)?;
        if let Some((_, name)) = self.names.get(&(kind, text)) {
            return Some(name.clone());
        }
        let fault = SheetFault::Undefined {
            kind: kind.name(),
            name: text.to_owned(),
        };
        self.errors.push(row.number, column.name(), fault);
        None
    }

    fn tier_rank(&mut self, row: &'a Row) -> Option<u8> {
        let tier = self.reference(row, Column::Tier, Kind::Tier)?;
        self.tier_ranks.get(&*tier).copied()
    }

    fn sheet_row(&mut self, row: &'a Row) -> Option<()> {
        let title = self.parse_cell(row, Column::Name, name::parse_title);
        let revision = self.whole_number(row, Column::Revision, MAX_REVISION);
        self.sheet.title = title?;
        self.sheet.revision = revision?;
        Some(())
    }

    fn zone(&mut self, row: &'a Row) -> Option<()> {
        let words = [("in", ZoneState::In), ("out", ZoneState::Out)];
        let name = self.name(row, Kind::Zone);
        let state = self.choice(row, Column::State, &words);
        self.sheet.zones.insert(name?, Zone { state: state? });
        Some(())
    }

    fn tier(&mut self, row: &'a Row) -> Option<()> {
        let name = self.name(row, Kind::Tier)?;
        self.sheet.tiers.push(Tier { name });
        Some(())
    }

    fn workspace(&mut self, row: &'a Row) -> Option<()> {
        let name = self.name(row, Kind::Workspace);
        let rate = self.whole_number(row, Column::Rate, MAX_TOKENS);
        let burst = self.whole_number(row, Column::Burst, MAX_TOKENS);
        let workspace = Workspace {
            rate: rate?,
            burst: burst?,
        };
        self.sheet.workspaces.insert(name?, workspace);
        Some(())
    }

    fn key(&mut self, row: &'a Row) -> Option<()> {
        let words = [
            ("active", KeyState::Active),
            ("withdrawn", KeyState::Withdrawn),
        ];
        let name = self.name(row, Kind::Key);
        let workspace = self.reference(row, Column::Workspace, Kind::Workspace);
        let highest_tier = self.tier_rank(row);
        let state = self.choice(row, Column::State, &words);
        let hash = self.parse_cell(row, Column::Sha256, cell::sha256)?;
        if let Some(first) = self.hash_rows.insert(hash, row.number) {
            let fault = SheetFault::DuplicateHash(first);
            self.errors.push(row.number, Column::Sha256.name(), fault);
        }
        let key = Key {
            name: name?,
            workspace: workspace?,
            highest_tier: highest_tier?,
            state: state?,
        };
        self.sheet.keys.insert(hash, key);
        Some(())
    }

    fn pool(&mut self, row: &'a Row) -> Option<()> {
        let words = [("engine", PoolKind::Engine), ("service", PoolKind::Service)];
        let name = self.name(row, Kind::Pool);
        let kind = self.choice(row, Column::State, &words);
        self.sheet.pools.insert(name?, Pool { kind: kind? });
        Some(())
    }

    fn target(&mut self, row: &'a Row) -> Option<()> {
        let words = [("in", TargetState::In), ("leaving", TargetState::Leaving)];
        let decimal = self.decimal;
        let name = self.name(row, Kind::Target);
        let pool = self.reference(row, Column::Pool, Kind::Pool);
        let zone = self.reference(row, Column::Zone, Kind::Zone);
        let address = self.parse_cell(row, Column::Address, cell::address);
        let state = self.choice(row, Column::State, &words);
        let capacity = self.whole_number(row, Column::Capacity, MAX_TOKENS);
        let cold_limit = self.whole_number(row, Column::ColdLimit, MAX_REQUESTS);
        let speed = self.parse_cell(row, Column::Speed, |text| cell::speed(text, decimal));
        let fencing = self.choice(row, Column::Fencing, &YES_NO);
        let address = address?;
        if let Some(first) = self.address_rows.insert(address, row.number) {
            let fault = SheetFault::DuplicateAddress {
                address: address.to_string(),
                row: first,
            };
            self.errors.push(row.number, Column::Address.name(), fault);
        }
        let target = Target {
            pool: pool?,
            zone: zone?,
            address,
            state: state?,
            capacity: capacity?,
            cold_limit: u32::try_from(cold_limit?).ok()?,
            speed: speed?,
            fencing: fencing?,
        };
        self.sheet.targets.insert(name?, target);
        Some(())
    }

    fn route(&mut self, row: &'a Row) -> Option<()> {
        let words = [("open", Access::Open), ("keyed", Access::Keyed)];
        let decimal = self.decimal;
        let path = self.parse_cell(row, Column::Name, name::parse_path);
        let pool = self.reference(row, Column::Pool, Kind::Pool);
        let tier = self.tier_rank(row);
        let access = self.choice(row, Column::Access, &words);
        let idempotent = self.choice(row, Column::Idempotent, &YES_NO);
        let max_body = self.parse_cell(row, Column::MaxBody, |text| cell::body_size(text, decimal));
        let max_tokens = self.whole_number(row, Column::MaxTokens, MAX_TOKENS);
        let deadline = self.parse_cell(row, Column::Deadline, |text| cell::deadline(text, decimal));
        self.sheet.routes.push(Route {
            path: path?,
            pool: pool?,
            access: access?,
            idempotent: idempotent?,
            max_body: max_body?,
            max_tokens: max_tokens?,
            deadline: deadline?,
            tier: tier?,
        });
        Some(())
    }
}
