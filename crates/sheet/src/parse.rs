//! From rows to a checked sheet.

use crate::{Sheet, SheetError, SheetFault};

/// Largest sheet in bytes, the largest value of the configuration service.
pub const MAX_SHEET_BYTES: usize = 1_000_000;

impl Sheet {
    /// Parses and checks a sheet. All errors are returned, up to a bound.
    ///
    /// # Errors
    ///
    /// The errors in the order of the rows.
    pub fn parse(input: &[u8]) -> Result<Sheet, Vec<SheetError>> {
        Err(vec![SheetError {
            row: 0,
            column: String::new(),
            fault: SheetFault::TooLarge(input.len()),
        }])
    }

    /// The canonical form, which parses back to an equal sheet.
    #[must_use]
    pub fn to_csv(&self) -> String {
        String::new()
    }
}
