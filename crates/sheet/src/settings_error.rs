//! Errors in a settings file.

use std::fmt;

/// An error in a settings file, with its position.
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

/// What is wrong in a settings file. Fields are written with dots, as in `timing.silent`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SettingsFault {
    /// The text has this many bytes, more than the limit.
    TooLarge(usize),
    /// A comment or string is not closed, or a slash does not start a comment.
    Comment,
    /// The text is not JSON, for this reason.
    Syntax(String),
    /// A field is unknown or missing, or its value has another type or unit.
    Field {
        /// The field; empty for the whole file.
        field: String,
        /// What is wrong.
        reason: String,
    },
    /// A value is out of range, or values contradict each other.
    Check(CheckError),
}

/// Invalid values of settings, and values that contradict each other or the sheet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CheckError {
    /// The field is zero.
    Zero(&'static str),
    /// The field is below its minimum.
    BelowMinimum {
        /// The field.
        field: &'static str,
        /// The value and the minimum, with units.
        values: [Box<str>; 2],
    },
    /// The field is above its maximum.
    AboveMaximum {
        /// The field.
        field: &'static str,
        /// The value and the maximum, with units.
        values: [Box<str>; 2],
    },
    /// The first field is not greater than the second one, but must be.
    NotGreater {
        /// The two fields.
        fields: [&'static str; 2],
        /// Their values with units.
        values: [Box<str>; 2],
    },
    /// The first field is less than the second one, but must not be.
    LessThan {
        /// The two fields.
        fields: [&'static str; 2],
        /// Their values with units.
        values: [Box<str>; 2],
    },
    /// Two fields have the same address.
    DuplicateAddress {
        /// The two fields.
        fields: [&'static str; 2],
        /// The address.
        address: Box<str>,
    },
    /// The first field is set and requires the second one, which is not set.
    Requires([&'static str; 2]),
    /// Other VMs can't connect to this address.
    Unreachable {
        /// The field.
        field: &'static str,
        /// The address.
        address: Box<str>,
    },
    /// The sheet has no zone with this name.
    UnknownZone(Box<str>),
    /// The field is not a finite number of at least zero.
    NotANumber {
        /// The field.
        field: &'static str,
        /// The value.
        value: Box<str>,
    },
    /// Two fields have the same port.
    DuplicatePort {
        /// The two fields.
        fields: [&'static str; 2],
        /// The port.
        port: u16,
    },
}

impl CheckError {
    /// The fields that the error is about; the field to correct comes first.
    #[must_use]
    pub fn fields(&self) -> &[&'static str] {
        match self {
            Self::Zero(field)
            | Self::BelowMinimum { field, .. }
            | Self::AboveMaximum { field, .. }
            | Self::Unreachable { field, .. }
            | Self::NotANumber { field, .. } => std::slice::from_ref(field),
            Self::NotGreater { fields, .. }
            | Self::LessThan { fields, .. }
            | Self::DuplicateAddress { fields, .. }
            | Self::DuplicatePort { fields, .. } => fields,
            Self::Requires(fields) => &fields[..1],
            Self::UnknownZone(_) => &["zone"],
        }
    }
}

impl fmt::Display for CheckError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Zero(field) => write!(f, "{field} is zero; write a value above 0"),
            Self::BelowMinimum { field, values } => {
                let [value, least] = values;
                write!(f, "{field} ({value}) is below {least}; raise it")
            }
            Self::AboveMaximum { field, values } => {
                let [value, most] = values;
                write!(f, "{field} ({value}) is above {most}; lower it")
            }
            Self::NotGreater { fields, values } => {
                let ([field, other], [value, least]) = (fields, values);
                write!(
                    f,
                    "{field} ({value}) is not above {other} ({least}); raise it or lower {other}"
                )
            }
            Self::LessThan { fields, values } => {
                let ([field, other], [value, least]) = (fields, values);
                write!(
                    f,
                    "{field} ({value}) is below {other} ({least}); raise it or lower {other}"
                )
            }
            Self::DuplicateAddress { fields, address } => {
                let [field, other] = fields;
                write!(
                    f,
                    "{field} has the address of {other} ({address}); use another port"
                )
            }
            Self::Requires([field, other]) => {
                write!(f, "{field} is set without {other}; set both or neither")
            }
            Self::Unreachable { field, address } => write!(
                f,
                "{field} ({address}) can't be reached from other VMs; write the IP address of \
                 this VM and a port"
            ),
            Self::NotANumber { field, value } => {
                write!(
                    f,
                    "{field} ({value}) is not a number of at least 0; correct it"
                )
            }
            Self::DuplicatePort { fields, port } => {
                let [field, other] = fields;
                write!(f, "{field} is the port of {other} ({port}); use another")
            }
            Self::UnknownZone(zone) => write!(
                f,
                "zone {zone:?} is not in the sheet; correct the name or add a zone row"
            ),
        }
    }
}

impl std::error::Error for CheckError {}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}:{}: ", self.file, self.line, self.column)?;
        match &self.fault {
            SettingsFault::TooLarge(bytes) => write!(
                f,
                "has {bytes} bytes, more than {}; remove comments",
                crate::settings_parse::MAX_SETTINGS_BYTES
            ),
            SettingsFault::Comment => f.write_str(
                "a comment or string is not closed, or a slash does not start a comment; correct \
                 it",
            ),
            SettingsFault::Syntax(reason) => write!(f, "not JSON: {reason}"),
            SettingsFault::Field { field, reason } if field.is_empty() => f.write_str(reason),
            SettingsFault::Field { field, reason } => write!(f, "{field}: {reason}"),
            SettingsFault::Check(e) => e.fmt(f),
        }
    }
}

impl std::error::Error for SettingsError {}
