//! Terminal output: exit codes, errors, colours and tables.

use std::fmt::Write as _;
use std::io::{self, IsTerminal, Write as _};
use std::process::ExitCode;

/// How a command ended. The values are the exit codes of the process, which scripts rely on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Exit {
    Ok = 0,
    Failed = 1,
    Rejected = 2,
    Partial = 3,
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> Self {
        ExitCode::from(exit as u8)
    }
}

/// An error that ends a command.
#[derive(Debug)]
pub(crate) struct Error {
    pub(crate) exit: Exit,
    pub(crate) text: String,
}

impl Error {
    /// An error because the command could not complete.
    pub(crate) fn failed(text: impl Into<String>) -> Self {
        Error {
            exit: Exit::Failed,
            text: text.into(),
        }
    }

    /// An error because the input of the command is invalid.
    pub(crate) fn rejected(text: impl Into<String>) -> Self {
        Error {
            exit: Exit::Rejected,
            text: text.into(),
        }
    }
}

/// Terminal text styles, as ANSI codes.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Colour {
    Bold = 1,
    Red = 31,
    Green = 32,
    Yellow = 33,
}

/// Writes the results of a command to standard output.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Output {
    pub(crate) json: bool,
    colour: bool,
    /// Whether to colour text on standard error.
    error_colour: bool,
}

impl Output {
    /// Enables colour only on a terminal, and only if `NO_COLOR` is unset or empty.
    pub(crate) fn new(json: bool) -> Self {
        let disabled = std::env::var_os("NO_COLOR").is_some_and(|value| !value.is_empty());
        Output {
            json,
            colour: !disabled && io::stdout().is_terminal(),
            error_colour: !disabled && io::stderr().is_terminal(),
        }
    }

    /// Colours text for standard output.
    pub(crate) fn paint(self, colour: Colour, text: &str) -> String {
        paint(self.colour, colour, text)
    }

    /// Colours text for standard error.
    pub(crate) fn paint_error(self, colour: Colour, text: &str) -> String {
        paint(self.error_colour, colour, text)
    }

    /// Prints a line. Write errors, such as a closed pipe, are ignored.
    #[expect(clippy::unused_self, reason = "shows that a command prints results")]
    pub(crate) fn line(self, text: &str) {
        let _ = writeln!(io::stdout(), "{text}");
    }

    /// Prints a value as indented JSON.
    pub(crate) fn json(self, value: &impl serde::Serialize) {
        match serde_json::to_string_pretty(value) {
            Ok(text) => self.line(&text),
            Err(err) => error(&format!("cannot serialize the result: {err}")),
        }
    }

    /// Prints a table whose first row is the header.
    pub(crate) fn table(self, rows: &[Vec<String>]) {
        for (index, line) in align_columns(rows).iter().enumerate() {
            if index == 0 {
                self.line(&self.paint(Colour::Bold, line));
            } else {
                self.line(line);
            }
        }
    }

    /// Prints an error as text to standard error, or as a JSON object to standard output.
    pub(crate) fn error(self, err: &Error) {
        if self.json {
            self.json(&serde_json::json!({ "ok": false, "error": err.text }));
        } else {
            error(&err.text);
        }
    }
}

fn paint(enabled: bool, colour: Colour, text: &str) -> String {
    if enabled {
        format!("\x1b[{}m{text}\x1b[0m", colour as u8)
    } else {
        text.to_owned()
    }
}

/// Prints a line to standard error.
pub(crate) fn print_stderr(text: &str) {
    let _ = writeln!(io::stderr(), "{text}");
}

/// Prints an error to standard error.
pub(crate) fn error(text: &str) {
    print_stderr(&format!("error: {text}"));
}

/// Prints a warning to standard error.
pub(crate) fn warn(text: &str) {
    print_stderr(&format!("warning: {text}"));
}

/// Pads the cells of each column to the same width.
fn align_columns(rows: &[Vec<String>]) -> Vec<String> {
    let columns = rows.iter().map(Vec::len).max().unwrap_or(0);
    let width = |column: usize| {
        let cells = rows.iter().filter_map(|row| row.get(column));
        cells.map(|cell| cell.chars().count()).max().unwrap_or(0)
    };
    let widths: Vec<usize> = (0..columns).map(width).collect();
    let lines = rows.iter().map(|row| {
        let mut line = String::new();
        for (cell, width) in row.iter().zip(&widths) {
            // Writing to a string never fails.
            let _ = write!(line, "{cell:<width$}  ");
        }
        line.trim_end().to_owned()
    });
    lines.collect()
}
