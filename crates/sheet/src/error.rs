//! Errors in a sheet.

use std::fmt;

use crate::column::{Column, Kind};
use crate::sheet_parse::{MAX_ROWS, MAX_TIERS};
use crate::table::MAX_SHEET_BYTES;

/// Largest number of errors that are reported one by one.
pub const MAX_ERRORS: usize = 50;

/// Largest number of characters of a cell that an error text quotes.
const MAX_QUOTED_CHARS: usize = 40;

/// One error in a sheet, with its position.
///
/// ```
/// let errors = sheet::Sheet::parse(b"kind,name,state\nzone,a,open\n").unwrap_err();
/// assert_eq!(
///     errors[1].to_string(),
///     "row 2, column state: \"open\" is not one of in, out; use one of these"
/// );
/// ```
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SheetError {
    /// Row as a spreadsheet numbers it, the header being row 1; 0 for the sheet as a whole.
    pub row: usize,
    /// Column name; empty for a row as a whole.
    pub column: String,
    /// What is wrong.
    pub fault: SheetFault,
}

/// What is wrong in a sheet. Names of kinds and columns are those of the sheet format.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SheetFault {
    /// The sheet has this many bytes, more than [`MAX_SHEET_BYTES`](crate::MAX_SHEET_BYTES).
    TooLarge(usize),
    /// The canonical form of the sheet has this many bytes, more than the limit.
    CanonicalTooLarge(usize),
    /// The sheet has more rows than [`MAX_ROWS`](crate::MAX_ROWS).
    TooManyRows,
    /// The sheet has more tiers than [`MAX_TIERS`](crate::MAX_TIERS).
    TooManyTiers,
    /// The text is not UTF-8.
    NotUtf8,
    /// The CSV reader gave this error.
    Csv(String),
    /// There is no header row.
    MissingHeader,
    /// The header lacks a column that rows of all kinds need.
    MissingColumn,
    /// The header has a column that is not part of the format.
    UnknownColumn,
    /// The header names a column twice.
    DuplicateColumn,
    /// A cell with this text is in a column without a name in the header.
    UnnamedColumn(String),
    /// A cell contains a line break.
    LineBreak,
    /// The kind is unknown.
    UnknownKind(String),
    /// A cell that rows of this kind need is empty.
    MissingValue(&'static str),
    /// A cell that rows of this kind do not use has a value.
    UnusedValue(&'static str),
    /// There is no `sheet` row.
    MissingSheetRow,
    /// There is already a `sheet` row, with this row number.
    DuplicateSheetRow(usize),
    /// The title is too long or has control characters.
    InvalidTitle,
    /// The text is not a valid name.
    InvalidName(String),
    /// The text is not a valid path prefix.
    InvalidPath(String),
    /// The path is reserved for the daemon's own API.
    ReservedPath(String),
    /// The name is used by an earlier row of this kind.
    DuplicateName {
        /// Kind of the two rows.
        kind: &'static str,
        /// The name.
        name: String,
        /// The earlier row.
        row: usize,
    },
    /// No row of this kind has this name.
    Undefined {
        /// Kind of the missing row.
        kind: &'static str,
        /// The name.
        name: String,
    },
    /// The text is none of the allowed words.
    InvalidChoice {
        /// The text.
        text: String,
        /// The allowed words.
        choices: String,
    },
    /// The text is not a valid number, duration or size.
    InvalidValue {
        /// The text.
        text: String,
        /// What is wrong and what to write.
        reason: String,
    },
    /// The value is zero.
    Zero,
    /// The text is not an IP address with a port.
    InvalidAddress(String),
    /// The address is used by an earlier target.
    DuplicateAddress {
        /// The address.
        address: String,
        /// The earlier row.
        row: usize,
    },
    /// The key hash is not 64 hex digits. The text is not kept, since it may be a key.
    InvalidHash,
    /// The key hash is used by an earlier key.
    DuplicateHash(usize),
    /// This many errors were found but left out of the list.
    Omitted(usize),
}

impl fmt::Display for SheetError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match (self.row, self.column.as_str()) {
            (0, _) => f.write_str("sheet: ")?,
            (row, "") => write!(f, "row {row}: ")?,
            (row, column) => write!(f, "row {row}, column {}: ", truncate(column))?,
        }
        self.fault.fmt(f)
    }
}

impl std::error::Error for SheetError {}

impl fmt::Display for SheetFault {
    #[expect(clippy::too_many_lines, reason = "one arm for each fault")]
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::TooLarge(bytes) => write!(
                f,
                "has {bytes} bytes, more than {MAX_SHEET_BYTES}; remove rows or split the site"
            ),
            Self::CanonicalTooLarge(bytes) => write!(
                f,
                "has {bytes} bytes in canonical form, more than {MAX_SHEET_BYTES}; remove rows or \
                 split the site"
            ),
            Self::TooManyRows => write!(
                f,
                "has more than {MAX_ROWS} rows; remove rows or split the site"
            ),
            Self::TooManyTiers => {
                write!(
                    f,
                    "is beyond the limit of {MAX_TIERS} tiers; remove the row"
                )
            }
            Self::NotUtf8 => f.write_str("is not UTF-8 text; save the sheet as CSV in UTF-8"),
            Self::Csv(reason) => write!(f, "is not CSV ({reason}); export the sheet again"),
            Self::MissingHeader => {
                f.write_str("has no rows; write a header row with the column names first")
            }
            Self::MissingColumn => f.write_str("is missing in the header; add it"),
            Self::UnknownColumn => {
                f.write_str("is not a known column; remove it or use one of ")?;
                write_names(f, Column::ALL.iter().map(|column| column.name()))
            }
            Self::DuplicateColumn => f.write_str("is in the header twice; remove one"),
            Self::UnnamedColumn(text) => write!(
                f,
                "{:?} is in a column without a header; clear the cell or name the column",
                truncate(text)
            ),
            Self::LineBreak => f.write_str(
                "contains a line break; remove it, or close the quote that was left open",
            ),
            Self::UnknownKind(text) => {
                write!(f, "{:?} is not a kind; use one of ", truncate(text))?;
                write_names(f, Kind::ALL.iter().map(|kind| kind.name()))
            }
            Self::MissingValue(kind) => write!(f, "is empty; a {kind} row needs a value"),
            Self::UnusedValue(kind) => write!(f, "is not used by a {kind} row; clear the cell"),
            Self::MissingSheetRow => {
                f.write_str("has no row of kind sheet; add one with the title and the revision")
            }
            Self::DuplicateSheetRow(row) => {
                write!(
                    f,
                    "is a second row of kind sheet after row {row}; remove one"
                )
            }
            Self::InvalidTitle => {
                f.write_str("is not a title; use up to 200 characters without control characters")
            }
            Self::InvalidName(text) => write!(
                f,
                "{:?} is not a name; use up to 64 ASCII letters, digits, \"-\", \"_\" and \".\"",
                truncate(text)
            ),
            Self::InvalidPath(text) => write!(
                f,
                "{:?} is not a path prefix; write for example /v1/completions, without a slash at \
                 the end, escapes or a query",
                truncate(text)
            ),
            Self::ReservedPath(text) => write!(
                f,
                "{:?} is reserved for the daemon itself; use another path",
                truncate(text)
            ),
            Self::DuplicateName { kind, name, row } => write!(
                f,
                "{kind} {:?} is already in row {row}; rename or remove one",
                truncate(name)
            ),
            Self::Undefined { kind, name } => write!(
                f,
                "no {kind} is named {:?}; correct the name or add a {kind} row",
                truncate(name)
            ),
            Self::InvalidChoice { text, choices } => write!(
                f,
                "{:?} is not one of {choices}; use one of these",
                truncate(text)
            ),
            Self::InvalidValue { text, reason } => write!(f, "{:?} is {reason}", truncate(text)),
            Self::Zero => f.write_str("is zero; write a value above 0"),
            Self::InvalidAddress(text) => write!(
                f,
                "{:?} is not an IP address with a port; write for example 10.0.0.7:8000",
                truncate(text)
            ),
            Self::DuplicateAddress { address, row } => write!(
                f,
                "{address} is already the address in row {row}; correct one of them"
            ),
            Self::InvalidHash => f.write_str(
                "is not 64 hex digits; write the SHA-256 of the key and never the key itself",
            ),
            Self::DuplicateHash(row) => {
                write!(f, "is the hash of the key in row {row}; issue another key")
            }
            Self::Omitted(count) => write!(f, "has {count} more errors; correct these first"),
        }
    }
}

/// Collects errors, up to [`MAX_ERRORS`].
#[derive(Default)]
pub(crate) struct Errors {
    list: Vec<SheetError>,
    omitted: usize,
}

impl Errors {
    pub(crate) fn push(&mut self, row: usize, column: &str, fault: SheetFault) {
        if self.list.len() == MAX_ERRORS {
            self.omitted += 1;
            return;
        }
        self.list.push(SheetError {
            row,
            column: column.to_owned(),
            fault,
        });
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.list.is_empty()
    }

    pub(crate) fn into_sorted(mut self) -> Vec<SheetError> {
        // The sort is stable, so the errors of a row stay in the order of its columns.
        self.list.sort_by_key(|e| e.row);
        if self.omitted > 0 {
            self.list.push(SheetError {
                row: 0,
                column: String::new(),
                fault: SheetFault::Omitted(self.omitted),
            });
        }
        self.list
    }
}

fn write_names(
    f: &mut fmt::Formatter<'_>,
    names: impl Iterator<Item = &'static str>,
) -> fmt::Result {
    f.write_str(&names.collect::<Vec<_>>().join(", "))
}

fn truncate(text: &str) -> String {
    match text.char_indices().nth(MAX_QUOTED_CHARS) {
        Some((end, _)) => format!("{}...", &text[..end]),
        None => text.to_owned(),
    }
}
