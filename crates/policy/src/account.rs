//! Token bucket that enforces the rate limit of a client account.

mod bucket;

pub use self::bucket::Bucket;
pub use self::bucket::TOKEN;
pub use self::bucket::micros;
