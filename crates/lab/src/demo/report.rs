//! Report of the demonstration's steps and their results.

use std::fmt;

/// Whether a step confirmed the guarantee that it checks.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StepResult {
    /// The guarantee held.
    Held,
    /// The guarantee was violated.
    Broken,
}

impl StepResult {
    /// Returns `Held` if the condition is true, or else `Broken`.
    #[must_use]
    pub fn of(condition: bool) -> Self {
        if condition { Self::Held } else { Self::Broken }
    }
}

impl fmt::Display for StepResult {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(match self {
            Self::Held => "held",
            Self::Broken => "BROKEN",
        })
    }
}

/// One step of the demonstration.
#[derive(Debug, Clone)]
pub struct Step {
    /// What the step did.
    pub action: &'static str,
    /// What was observed.
    pub observed: String,
    /// Whether the guarantee held.
    pub result: StepResult,
}

/// Steps of the demonstration, in the order in which they ran.
#[derive(Debug, Clone, Default)]
pub struct Report {
    steps: Vec<Step>,
}

impl Report {
    /// Adds a step.
    pub fn add(&mut self, action: &'static str, observed: impl Into<String>, result: StepResult) {
        self.steps.push(Step {
            action,
            observed: observed.into(),
            result,
        });
    }

    /// Returns the steps in order.
    #[must_use]
    pub fn steps(&self) -> &[Step] {
        &self.steps
    }

    /// Returns whether the guarantee held in every step.
    #[must_use]
    pub fn all_held(&self) -> bool {
        self.steps
            .iter()
            .all(|step| step.result == StepResult::Held)
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for step in &self.steps {
            writeln!(
                f,
                "{:<7} {:<52} {}",
                step.result, step.action, step.observed
            )?;
        }
        Ok(())
    }
}
