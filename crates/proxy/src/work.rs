//! Units of work, statements and answers, independent of any wire protocol.

mod answer;
mod class;
mod code;
mod dated_position;
mod guarantee;
mod log_position;
mod setting;
mod statement;
mod work_unit;

pub use answer::Answer;
pub use answer::TransactionState;
pub use class::Class;
pub use code::Code;
pub use dated_position::DatedPosition;
pub use guarantee::Guarantee;
pub use log_position::LogPosition;
pub use setting::Setting;
pub use statement::PreparedStatement;
pub use statement::Statement;
pub use statement::Verb;
pub use work_unit::AllowedDomains;
pub use work_unit::WorkUnit;
