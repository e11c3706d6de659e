//! Unit of work: a single statement, or the first statement of a transaction.

use std::time::Duration;

use mustardbay_policy::names::DomainName;

use crate::clock::millis;
use crate::work::Class;
use crate::work::Guarantee;
use crate::work::LogPosition;
use crate::work::Setting;
use crate::work::Statement;
use crate::work::Verb;

/// Work that a session asks a pool to run.
#[derive(Clone, PartialEq, prost::Message)]
pub struct WorkUnit {
    /// First or only statement of the unit.
    #[prost(message, required, tag = "1")]
    pub statement: Statement,
    /// Statement that begins the transaction; absent for a single statement.
    #[prost(message, optional, tag = "2")]
    pub begin: Option<Statement>,
    /// Client account that it runs for.
    #[prost(string, tag = "3")]
    pub account: String,
    /// Database group that runs it.
    #[prost(string, tag = "4")]
    pub group: String,
    /// Consistency guarantee of its reads.
    #[prost(enumeration = "Guarantee", tag = "5")]
    pub guarantee: i32,
    /// Staleness bound of its reads, in milliseconds, unless the guarantee is `Primary`.
    #[prost(uint32, tag = "6")]
    pub staleness_ms: u32,
    /// Log position of the session's last commit.
    #[prost(message, optional, tag = "7")]
    pub floor: Option<LogPosition>,
    /// Settings of the session.
    #[prost(message, repeated, tag = "8")]
    pub settings: Vec<Setting>,
    /// Priority; 0 is the highest.
    #[prost(uint32, tag = "9")]
    pub priority: u32,
    /// Time left until the statement's deadline, in milliseconds.
    #[prost(uint32, tag = "10")]
    pub left_ms: u32,
    /// Time left of the latency objective, in milliseconds.
    #[prost(uint32, tag = "11")]
    pub objective_ms: u32,
    /// Position that is fresh enough for its reads, from the entry's view of the primary.
    ///
    /// A pool uses it if it knows no recent position of the primary itself.
    #[prost(message, optional, tag = "12")]
    pub fresh_position: Option<LogPosition>,
    /// Failure domains that may handle it; all if absent.
    #[prost(message, optional, tag = "13")]
    pub domains: Option<AllowedDomains>,
}

/// Failure domains that may handle a unit, because its route or account is bound to regions.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct AllowedDomains {
    /// Names of the domains.
    #[prost(string, repeated, tag = "1")]
    pub names: Vec<String>,
}

impl WorkUnit {
    /// Tells whether the unit only reads.
    #[must_use]
    pub fn is_read(&self) -> bool {
        match &self.begin {
            Some(begin) => begin.verb() == Verb::BeginRead,
            None => self.statement.verb() == Verb::Read,
        }
    }

    /// Returns the class of the unit.
    #[must_use]
    pub fn class(&self) -> Class {
        if self.is_read() {
            Class::Read(self.guarantee())
        } else {
            Class::Write
        }
    }

    /// Tells whether only the primary may run the unit.
    #[must_use]
    pub fn needs_primary(&self) -> bool {
        !self.is_read() || self.guarantee() == Guarantee::Primary
    }

    /// Tells whether the unit may be run more than once: it is a single read.
    #[must_use]
    pub fn is_idempotent(&self) -> bool {
        self.begin.is_none() && self.statement.verb() == Verb::Read
    }

    /// Tells whether the vms and upstreams of a failure domain may handle the unit.
    #[must_use]
    pub fn allows(&self, domain: &DomainName) -> bool {
        let allowed = self.domains.as_ref();
        allowed.is_none_or(|domains| domains.names.iter().any(|name| name == domain.as_str()))
    }

    /// Returns the unit with its remaining times reduced by a delay.
    #[must_use]
    pub fn after_delay(&self, time: Duration) -> Self {
        let passed = millis(time);
        Self {
            left_ms: self.left_ms.saturating_sub(passed),
            objective_ms: self.objective_ms.saturating_sub(passed),
            ..self.clone()
        }
    }

    /// Returns the time left of the latency objective.
    #[must_use]
    pub fn objective(&self) -> Duration {
        Duration::from_millis(self.objective_ms.into())
    }

    /// Returns the time left until the statement's deadline.
    #[must_use]
    pub fn left(&self) -> Duration {
        Duration::from_millis(self.left_ms.into())
    }
}
