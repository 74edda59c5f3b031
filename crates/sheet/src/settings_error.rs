//! Errors of a settings file.

use std::fmt;

/// An error of a settings file, with its place.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsError {
    /// Name of the file.
    pub file: String,
    /// Line, from 1.
    pub line: usize,
    /// Column in characters, from 1.
    pub column: usize,
    /// What is wrong.
    pub fault: SettingsFault,
}

/// What is wrong in a settings file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SettingsFault {
    /// The text is not JSON with comments.
    Syntax(String),
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}:{}: ", self.file, self.line, self.column)?;
        match &self.fault {
            SettingsFault::Syntax(reason) => f.write_str(reason),
        }
    }
}

impl std::error::Error for SettingsError {}
