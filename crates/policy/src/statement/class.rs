//! Classes of statements, and the access that a batch of them needs.

/// Class of one SQL statement, as far as routing and retries depend on it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StatementClass {
    /// Only reads: may run on a replica and may be retried.
    Read,
    /// Writes, or is not known to only read: may not be retried.
    Write,
    /// Opens a transaction.
    Begin {
        /// Whether the statement declares the transaction `READ ONLY`.
        read_only: bool,
    },
    /// Commits a transaction.
    Commit,
    /// Rolls a transaction back.
    Rollback,
    /// Takes effect only inside a transaction, such as a savepoint or `SET LOCAL`.
    TransactionOnly,
    /// Reads or changes session state that the proxy itself keeps.
    Session(SessionCommand),
    /// Needs server session state, which transaction pooling does not preserve; names the feature.
    Unsupported(&'static str),
}

/// Statement that the proxy answers without an upstream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SessionCommand {
    /// `SET name = value`.
    Set {
        /// Parameter name in lower case.
        name: String,
        /// New value without quotes.
        value: String,
    },
    /// `RESET name`, or `RESET ALL` without a name.
    Reset {
        /// Parameter name in lower case.
        name: Option<String>,
    },
    /// `SHOW name`.
    Show {
        /// Parameter name in lower case.
        name: String,
    },
    /// `DISCARD ALL`.
    DiscardAll,
    /// `DEALLOCATE name`, or `DEALLOCATE ALL` without a name.
    Deallocate {
        /// Name of the prepared statement.
        name: Option<String>,
    },
}

/// Access that a batch of statements needs on its upstream.
///
/// Ordered so that the greater of two kinds covers both, except that a write and a read-only
/// transaction together need [`Access::Begin`].
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Access {
    /// Reads only.
    #[default]
    Read,
    /// Opens a read-only transaction.
    BeginRead,
    /// May write.
    Write,
    /// Opens a transaction that may write.
    Begin,
}

impl Access {
    /// Returns the access that the batch needs after a statement of `class` is added.
    #[must_use]
    pub fn with(self, class: &StatementClass) -> Self {
        let other = match class {
            StatementClass::Read
            | StatementClass::Commit
            | StatementClass::Rollback
            | StatementClass::TransactionOnly
            | StatementClass::Session(_) => Self::Read,
            StatementClass::Begin { read_only: true } => Self::BeginRead,
            StatementClass::Begin { read_only: false } => Self::Begin,
            StatementClass::Write | StatementClass::Unsupported(_) => Self::Write,
        };
        match (self, other) {
            (Self::BeginRead, Self::Write) | (Self::Write, Self::BeginRead) => Self::Begin,
            (a, b) => a.max(b),
        }
    }

    /// Tells whether a replica may serve the batch.
    #[must_use]
    pub fn is_read(self) -> bool {
        matches!(self, Self::Read | Self::BeginRead)
    }

    /// Tells whether the batch opens a transaction.
    #[must_use]
    pub fn opens_transaction(self) -> bool {
        matches!(self, Self::Begin | Self::BeginRead)
    }

    /// Returns the label value in metrics.
    #[must_use]
    pub fn label(self) -> &'static str {
        match self {
            Self::Read => "read",
            Self::BeginRead => "begin_read",
            Self::Write => "write",
            Self::Begin => "begin",
        }
    }
}
