//! Setting of a session.

/// One setting of a session, in force for its later statements.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Setting {
    /// Name of the setting.
    #[prost(string, tag = "1")]
    pub name: String,
    /// Value of the setting.
    #[prost(string, tag = "2")]
    pub value: String,
}
