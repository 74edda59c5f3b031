//! Errors of a sheet.

use std::fmt;

/// One error of a sheet, with its place.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SheetError {
    /// Row as a spreadsheet numbers it, the header being row 1; 0 for the sheet as a whole.
    pub row: usize,
    /// Column name; empty for a row as a whole.
    pub column: String,
    /// What is wrong.
    pub fault: SheetFault,
}

/// What is wrong in a sheet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SheetFault {
    /// The sheet is larger than [`MAX_SHEET_BYTES`](crate::MAX_SHEET_BYTES).
    TooLarge(usize),
}

impl fmt::Display for SheetError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "row {}, column {}: ", self.row, self.column)?;
        match &self.fault {
            SheetFault::TooLarge(bytes) => write!(f, "{bytes} bytes"),
        }
    }
}

impl std::error::Error for SheetError {}
