//! What one statement does, as far as routing and retries need to know.

/// Class of one SQL statement.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StatementClass {
    /// Only reads; may run on a replica and may be repeated.
    Read,
    /// Writes, or is not known to be a read; may not be repeated.
    Write,
    /// Opens a transaction.
    Begin {
        /// Whether the transaction was declared `READ ONLY`.
        read_only: bool,
    },
    /// Ends a transaction and keeps its writes.
    Commit,
    /// Ends a transaction and drops its writes.
    Rollback,
    /// Has a meaning only inside a transaction, such as a savepoint or `SET LOCAL`.
    Inner,
    /// Reads or changes state of the session that the proxy keeps itself.
    Session(SessionCommand),
    /// Needs state of a server connection that transaction pooling does not keep.
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

/// What a batch of statements needs from its upstream.
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
    /// Returns what the batch needs once a statement of `class` joins it.
    #[must_use]
    pub fn with(self, class: &StatementClass) -> Self {
        let other = match class {
            StatementClass::Read
            | StatementClass::Commit
            | StatementClass::Rollback
            | StatementClass::Inner
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

    /// Returns the label of the class in metrics.
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
