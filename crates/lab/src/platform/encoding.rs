//! Encodings of the JSON gateway.

/// 64-bit integers, written as strings and read from strings or numbers.
pub mod int64 {
    use serde::Deserialize;
    use serde::Deserializer;
    use serde::Serializer;
    use serde::de::Error;

    #[derive(Deserialize)]
    #[serde(untagged)]
    enum Either {
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
    /// Fails if it is neither.
    pub fn deserialize<'de, D: Deserializer<'de>>(deserializer: D) -> Result<i64, D::Error> {
        match Either::deserialize(deserializer)? {
            Either::Number(number) => Ok(number),
            Either::Text(text) => text.parse().map_err(D::Error::custom),
        }
    }
}

/// Bytes in base64.
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
    /// Fails if the text is no base64.
    pub fn deserialize<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Vec<u8>, D::Error> {
        let text = String::deserialize(deserializer)?;
        STANDARD.decode(text).map_err(D::Error::custom)
    }
}
