//! Digest of the statements and parameters in encoded frontend messages.

use bytes::Bytes;
use bytes::BytesMut;
use mustardbay_policy::request_record::Digest;
use pgwire::messages::DecodeContext;
use pgwire::messages::PgWireFrontendMessage;
use pgwire::messages::ProtocolVersion;

use crate::upstream::UpstreamError;

/// Computes the digest of a batch's statements and parameters.
///
/// Names of statements and portals are not included, because they differ between entries.
pub(super) fn batch_digest(messages: &Bytes) -> Result<Digest, UpstreamError> {
    let mut context = DecodeContext::new(ProtocolVersion::PROTOCOL3_0);
    context.awaiting_frontend_ssl = false;
    context.awaiting_frontend_startup = false;
    let mut rest = BytesMut::from(messages.as_ref());
    let mut parts: Vec<Vec<u8>> = Vec::new();
    while let Some(message) = PgWireFrontendMessage::decode(&mut rest, &context)? {
        match message {
            PgWireFrontendMessage::Query(query) => {
                parts.push(b"query".to_vec());
                parts.push(query.query.into_bytes());
            }
            PgWireFrontendMessage::Parse(parse) => {
                parts.push(b"parse".to_vec());
                parts.push(parse.query.into_bytes());
            }
            PgWireFrontendMessage::Bind(bind) => {
                parts.push(b"bind".to_vec());
                for parameter in bind.parameters {
                    parts.push(parameter.map_or_else(Vec::new, |p| p.to_vec()));
                }
            }
            _ => {}
        }
    }
    Ok(Digest::of(parts.iter().map(Vec::as_slice)))
}
