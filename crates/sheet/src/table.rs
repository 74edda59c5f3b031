//! CSV reader: splits the bytes of a sheet into rows of cells.

use csv::{ReaderBuilder, StringRecord};

use crate::SheetFault;
use crate::cell::DecimalSeparator;
use crate::column::Column;
use crate::error::Errors;
use crate::sheet_parse::MAX_ROWS;

/// Largest size of a sheet in bytes. The configuration service stores values of up to 1 MB, and a
/// sheet must fit in one frame between daemons (1 MiB).
pub const MAX_SHEET_BYTES: usize = 1_000_000;

/// The rows of a sheet that are not blank.
pub(crate) struct Table {
    /// Position of each column in the records, in the order of [`Column::ALL`].
    positions: [Option<usize>; Column::ALL.len()],
    /// Decimal separator of the numbers in the sheet.
    pub(crate) decimal: DecimalSeparator,
    pub(crate) rows: Vec<Row>,
}

/// One row of a sheet.
pub(crate) struct Row {
    /// Line of the file in which the row starts, from 1.
    pub(crate) number: usize,
    record: StringRecord,
}

impl Table {
    /// The trimmed text of a cell; empty if the row or the header ends before it.
    pub(crate) fn cell<'a>(&self, row: &'a Row, column: Column) -> &'a str {
        let position = self.positions[column as usize];
        let cell = position.and_then(|position| row.record.get(position));
        cell.unwrap_or("").trim()
    }

    /// Reads the header and all rows; `None` if the input can't be read as a table.
    pub(crate) fn parse(input: &[u8], errors: &mut Errors) -> Option<Self> {
        if input.len() > MAX_SHEET_BYTES {
            errors.push(0, "", SheetFault::TooLarge(input.len()));
            return None;
        }
        let text = match std::str::from_utf8(input) {
            Ok(text) => text.strip_prefix('\u{feff}').unwrap_or(text),
            Err(e) => {
                let row = count_line_breaks(&input[..e.valid_up_to()]) + 1;
                errors.push(row, "", SheetFault::NotUtf8);
                return None;
            }
        };
        let separator = detect_separator(text);
        let mut reader = ReaderBuilder::new()
            .has_headers(false)
            .flexible(true)
            .delimiter(separator)
            .from_reader(text.as_bytes());
        let mut row_counter = RowCounter::new(text);
        let mut rows = Vec::new();
        loop {
            let start = usize::try_from(reader.position().byte()).unwrap_or(usize::MAX);
            let mut record = StringRecord::new();
            match reader.read_record(&mut record) {
                Ok(true) => {}
                Ok(false) => break,
                Err(e) => {
                    errors.push(
                        row_counter.row_at(start),
                        "",
                        SheetFault::Csv(e.to_string()),
                    );
                    return None;
                }
            }
            if record.iter().all(|cell| cell.trim().is_empty()) {
                continue;
            }
            if rows.len() > MAX_ROWS {
                errors.push(0, "", SheetFault::TooManyRows);
                return None;
            }
            let number = row_counter.row_at(start);
            rows.push(Row { number, record });
        }
        if rows.is_empty() {
            errors.push(0, "", SheetFault::MissingHeader);
            return None;
        }
        let header = rows.remove(0);
        let mut table = Self {
            positions: [None; Column::ALL.len()],
            decimal: match separator {
                b';' => DecimalSeparator::Comma,
                _ => DecimalSeparator::Point,
            },
            rows,
        };
        table.read_header(&header, errors);
        Some(table)
    }

    fn read_header(&mut self, header: &Row, errors: &mut Errors) {
        let mut unnamed_positions = Vec::new();
        for (position, text) in header.record.iter().enumerate() {
            let text = text.trim();
            if text.is_empty() {
                unnamed_positions.push(position);
                continue;
            }
            match Column::from_header(text) {
                None => errors.push(header.number, text, SheetFault::UnknownColumn),
                Some(column) if self.positions[column as usize].is_some() => {
                    errors.push(header.number, column.name(), SheetFault::DuplicateColumn);
                }
                Some(column) => self.positions[column as usize] = Some(position),
            }
        }
        for column in [Column::Kind, Column::Name] {
            if self.positions[column as usize].is_none() {
                errors.push(header.number, column.name(), SheetFault::MissingColumn);
            }
        }
        for row in &self.rows {
            let beyond = header.record.len()..row.record.len();
            for position in unnamed_positions.iter().copied().chain(beyond) {
                let text = row.record.get(position).unwrap_or("").trim();
                if !text.is_empty() {
                    let fault = SheetFault::UnnamedColumn(text.to_owned());
                    errors.push(row.number, "", fault);
                }
            }
        }
    }
}

/// The separator that is more frequent in the first line that isn't blank; a comma if equal.
fn detect_separator(text: &str) -> u8 {
    let line = text
        .split(['\n', '\r'])
        .find(|line| !line.trim().is_empty());
    let count = |separator| line.map_or(0, |line| line.matches(separator).count());
    if count(';') > count(',') { b';' } else { b',' }
}

/// Converts increasing byte offsets to row numbers.
struct RowCounter<'a> {
    text: &'a [u8],
    offset: usize,
    row: usize,
}

impl<'a> RowCounter<'a> {
    fn new(text: &'a str) -> Self {
        Self {
            text: text.as_bytes(),
            offset: 0,
            row: 1,
        }
    }

    /// The row of the first text at or after an offset.
    ///
    /// The line number of the CSV reader is that of the first blank line before a record, so it
    /// can't be used.
    fn row_at(&mut self, start: usize) -> usize {
        let rest = self.text.get(start..).unwrap_or(&[]);
        let blank = rest.iter().take_while(|&&b| b == b'\r' || b == b'\n');
        let end = (start + blank.count()).min(self.text.len());
        self.row += count_line_breaks(&self.text[self.offset..end]);
        self.offset = end;
        self.row
    }
}

/// The number of line breaks (LF, CRLF or CR) in a text.
fn count_line_breaks(text: &[u8]) -> usize {
    let pairs = text.windows(2).filter(|pair| pair == b"\r\n").count();
    let breaks = text.iter().filter(|&&b| b == b'\r' || b == b'\n').count();
    breaks - pairs
}
