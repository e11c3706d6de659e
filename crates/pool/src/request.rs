//! Handling of one request of an entry, from arrival to final answer.

mod answer;
mod batch;
mod cancel;
mod destination;
mod digest;
mod exchange;
mod memory;
mod recorded;
mod refusals;
mod run;
mod serve;
mod session;
mod stop;
mod window;

pub(crate) use answer::Answer;
pub(crate) use batch::Batch;
pub(crate) use memory::SharedMemory;
pub(crate) use serve::serve_confirm;
pub(crate) use serve::serve_submit;
pub(crate) use session::Session;
pub(crate) use stop::Stop;
pub(crate) use window::Window;
