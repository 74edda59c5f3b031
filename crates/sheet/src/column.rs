//! Columns and row kinds of the sheet format.

/// A column of the sheet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Column {
    Kind,
    Name,
    Workspace,
    Pool,
    Zone,
    Address,
    Tier,
    Rate,
    Burst,
    State,
    Access,
    Idempotent,
    MaxBody,
    MaxTokens,
    Deadline,
    Capacity,
    ColdLimit,
    Speed,
    Fencing,
    Sha256,
    Revision,
}

impl Column {
    /// All columns in the order of the canonical form.
    pub(crate) const ALL: [Self; 21] = [
        Self::Kind,
        Self::Name,
        Self::Workspace,
        Self::Pool,
        Self::Zone,
        Self::Address,
        Self::Tier,
        Self::Rate,
        Self::Burst,
        Self::State,
        Self::Access,
        Self::Idempotent,
        Self::MaxBody,
        Self::MaxTokens,
        Self::Deadline,
        Self::Capacity,
        Self::ColdLimit,
        Self::Speed,
        Self::Fencing,
        Self::Sha256,
        Self::Revision,
    ];

    pub(crate) fn name(self) -> &'static str {
        match self {
            Self::Kind => "kind",
            Self::Name => "name",
            Self::Workspace => "workspace",
            Self::Pool => "pool",
            Self::Zone => "zone",
            Self::Address => "address",
            Self::Tier => "tier",
            Self::Rate => "rate",
            Self::Burst => "burst",
            Self::State => "state",
            Self::Access => "access",
            Self::Idempotent => "idempotent",
            Self::MaxBody => "max_body",
            Self::MaxTokens => "max_tokens",
            Self::Deadline => "deadline",
            Self::Capacity => "capacity",
            Self::ColdLimit => "cold_limit",
            Self::Speed => "speed",
            Self::Fencing => "fencing",
            Self::Sha256 => "sha256",
            Self::Revision => "revision",
        }
    }

    /// Finds a column by its header, ignoring case; spaces and hyphens count as underscores.
    pub(crate) fn from_header(text: &str) -> Option<Self> {
        let name = text.trim().to_ascii_lowercase().replace([' ', '-'], "_");
        Self::ALL.into_iter().find(|column| column.name() == name)
    }
}

/// A kind of row.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) enum Kind {
    Sheet,
    Zone,
    Tier,
    Workspace,
    Key,
    Pool,
    Target,
    Route,
}

impl Kind {
    pub(crate) const ALL: [Self; 8] = [
        Self::Sheet,
        Self::Zone,
        Self::Tier,
        Self::Workspace,
        Self::Key,
        Self::Pool,
        Self::Target,
        Self::Route,
    ];

    pub(crate) fn name(self) -> &'static str {
        match self {
            Self::Sheet => "sheet",
            Self::Zone => "zone",
            Self::Tier => "tier",
            Self::Workspace => "workspace",
            Self::Key => "key",
            Self::Pool => "pool",
            Self::Target => "target",
            Self::Route => "route",
        }
    }

    pub(crate) fn from_cell(text: &str) -> Option<Self> {
        Self::ALL
            .into_iter()
            .find(|kind| kind.name().eq_ignore_ascii_case(text))
    }

    /// Whether rows of this kind must have a value in a column; if not, the cell must be empty.
    pub(crate) fn uses(self, column: Column) -> bool {
        match column {
            Column::Kind | Column::Name => true,
            Column::Revision => self == Self::Sheet,
            Column::Rate | Column::Burst => self == Self::Workspace,
            Column::Workspace | Column::Sha256 => self == Self::Key,
            Column::Tier => matches!(self, Self::Key | Self::Route),
            Column::Pool => matches!(self, Self::Target | Self::Route),
            Column::State => matches!(self, Self::Zone | Self::Key | Self::Pool | Self::Target),
            Column::Zone
            | Column::Address
            | Column::Capacity
            | Column::ColdLimit
            | Column::Speed
            | Column::Fencing => self == Self::Target,
            Column::Access
            | Column::Idempotent
            | Column::MaxBody
            | Column::MaxTokens
            | Column::Deadline => self == Self::Route,
        }
    }
}
