//! Serde encodings of the etcd JSON gateway.

/// Encodes 64-bit integers as strings; decodes them from strings or numbers.
pub mod int64 {
    use serde::Deserialize;
    use serde::Deserializer;
    use serde::Serializer;
    use serde::de::Error;

    #[derive(Deserialize)]
    #[serde(untagged)]
    enum NumberOrText {
        Number(i64),
        Text(String),
    }

    /// Writes the integer as a string.
    ///
    /// # Errors
    ///
    /// Fails if the serializer does.
    #[expect(
        clippy::trivially_copy_pass_by_ref,
        reason = "serde passes fields by reference"
    )]
    pub fn serialize<S: Serializer>(value: &i64, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(value)
    }

    /// Reads the integer from a string or a number.
    ///
    /// # Errors
    ///
    /// Fails if the value is neither, or if the string is not an integer.
    pub fn deserialize<'de, D: Deserializer<'de>>(deserializer: D) -> Result<i64, D::Error> {
        match NumberOrText::deserialize(deserializer)? {
            NumberOrText::Number(number) => Ok(number),
            NumberOrText::Text(text) => text.parse().map_err(D::Error::custom),
        }
    }
}

/// Encodes bytes as base64 strings.
pub mod base64_bytes {
    use base64::Engine;
    use base64::engine::general_purpose::STANDARD;
    use serde::Deserialize;
    use serde::Deserializer;
    use serde::Serializer;
    use serde::de::Error;

    /// Writes the bytes as base64.
    ///
    /// # Errors
    ///
    /// Fails if the serializer does.
    pub fn serialize<S: Serializer>(value: &[u8], serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_str(&STANDARD.encode(value))
    }

    /// Reads the bytes from base64.
    ///
    /// # Errors
    ///
    /// Fails if the value is not a base64 string.
    pub fn deserialize<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Vec<u8>, D::Error> {
        let text = String::deserialize(deserializer)?;
        STANDARD.decode(text).map_err(D::Error::custom)
    }
}
