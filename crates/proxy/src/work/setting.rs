//! Value that a session has set.

/// One value of a session, in force for its later statements.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Setting {
    /// Name of the value.
    #[prost(string, tag = "1")]
    pub name: String,
    /// The value.
    #[prost(string, tag = "2")]
    pub value: String,
}
