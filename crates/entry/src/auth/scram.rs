//! Server side of SCRAM-SHA-256 (RFC 5802, RFC 7677) without channel binding.

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use hmac::Hmac;
use hmac::KeyInit;
use hmac::Mac;
use mustardbay_policy::bundle::Account;
use mustardbay_policy::names::KeyId;
use sha2::Digest;
use sha2::Sha256;
use subtle::ConstantTimeEq;

use crate::auth::Verifier;

/// SASL mechanism name.
pub(crate) const MECHANISM: &str = "SCRAM-SHA-256";
/// Random bytes in the server's part of the nonce.
const NONCE_BYTES: usize = 18;
/// Size of the salt sent for an unknown account.
const MOCK_SALT_BYTES: usize = 16;
/// Iteration count sent for an unknown account.
const MOCK_ITERATIONS: u32 = 4096;

/// SCRAM exchange that waits for the client's proof.
#[derive(Debug)]
pub(crate) struct ScramExchange {
    gs2_header: String,
    client_first: String,
    server_first: String,
    nonce: String,
    candidates: Vec<(KeyId, Verifier)>,
}

/// Result of a successful exchange.
#[derive(Debug)]
pub(crate) struct ProvenKey {
    /// Key that the client proved to hold.
    pub key: KeyId,
    /// Last message to the client, with the server signature.
    pub server_final: String,
}

impl ScramExchange {
    /// Answers the client's first message; `None` if it is malformed or demands channel binding.
    ///
    /// The salt is that of the newest key. Older keys are accepted if they have the same salt and
    /// iterations. An unknown account gets a mock salt and fails at the proof, so that a client
    /// cannot find out which accounts exist.
    pub fn begin(message: &[u8], account: Option<&Account>, secret: &[u8]) -> Option<Self> {
        let message = std::str::from_utf8(message).ok()?;
        let bare_at = message.match_indices(',').nth(1)?.0 + 1;
        let (gs2_header, client_first) = message.split_at(bare_at);
        if !(gs2_header.starts_with("n,") || gs2_header.starts_with("y,")) {
            return None;
        }
        let client_nonce = attribute(client_first, 'r').filter(|r| !r.is_empty())?;
        let candidates = candidates(account);
        let (salt, iterations) = match candidates.first() {
            Some((_, newest)) => (newest.salt.clone(), newest.iterations),
            None => (mock_salt(client_first, secret), MOCK_ITERATIONS),
        };
        let nonce = format!("{client_nonce}{}", server_nonce());
        let server_first = format!("r={nonce},s={},i={iterations}", STANDARD.encode(salt));
        Some(Self {
            gs2_header: gs2_header.to_owned(),
            client_first: client_first.to_owned(),
            server_first,
            nonce,
            candidates,
        })
    }

    /// Returns the server-first message.
    pub fn server_first(&self) -> &str {
        &self.server_first
    }

    /// Checks the client's proof; `None` if it proves none of the account's keys.
    pub fn finish(&self, message: &[u8]) -> Option<ProvenKey> {
        let message = std::str::from_utf8(message).ok()?;
        let (without_proof, proof) = message.rsplit_once(",p=")?;
        let proof = STANDARD.decode(proof).ok()?;
        let binding = attribute(without_proof, 'c')?;
        let binding_matches = STANDARD.decode(binding).ok()? == self.gs2_header.as_bytes();
        if !binding_matches || attribute(without_proof, 'r')? != self.nonce {
            return None;
        }
        let text = format!(
            "{},{},{without_proof}",
            self.client_first, self.server_first
        );
        let proven = self
            .candidates
            .iter()
            .find(|(_, verifier)| proves(verifier, &proof, &text))?;
        let signature = hmac_sha256(&proven.1.server_key, text.as_bytes())?;
        Some(ProvenKey {
            key: proven.0.clone(),
            server_final: format!("v={}", STANDARD.encode(signature)),
        })
    }
}

/// Returns the keys with the salt and iterations of the newest one, newest first.
fn candidates(account: Option<&Account>) -> Vec<(KeyId, Verifier)> {
    let keys = account.map_or(&[][..], |a| &a.keys);
    let mut found: Vec<(KeyId, Verifier)> = keys
        .iter()
        .rev()
        .filter_map(|k| Some((k.id.clone(), Verifier::parse(&k.verifier)?)))
        .collect();
    if let Some((_, newest)) = found.first().cloned() {
        found.retain(|(_, v)| v.salt == newest.salt && v.iterations == newest.iterations);
    }
    found
}

fn proves(verifier: &Verifier, proof: &[u8], text: &str) -> bool {
    let Some(signature) = hmac_sha256(&verifier.stored_key, text.as_bytes()) else {
        return false;
    };
    if proof.len() != signature.len() {
        return false;
    }
    let client_key: Vec<u8> = proof.iter().zip(&signature).map(|(a, b)| a ^ b).collect();
    let stored = Sha256::digest(client_key);
    stored.as_slice().ct_eq(&verifier.stored_key).into()
}

fn hmac_sha256(key: &[u8], text: &[u8]) -> Option<Vec<u8>> {
    let mut mac = Hmac::<Sha256>::new_from_slice(key).ok()?;
    mac.update(text);
    Some(mac.finalize().into_bytes().to_vec())
}

/// Returns a mock salt that is stable for each unknown account name.
fn mock_salt(client_first: &str, secret: &[u8]) -> Vec<u8> {
    let name = attribute(client_first, 'n').unwrap_or_default();
    let mut salt = hmac_sha256(secret, name.as_bytes()).unwrap_or_default();
    salt.truncate(MOCK_SALT_BYTES);
    salt
}

fn server_nonce() -> String {
    STANDARD.encode(rand::random::<[u8; NONCE_BYTES]>())
}

/// Returns the value of an attribute such as `r=value`.
fn attribute(message: &str, name: char) -> Option<&str> {
    message
        .split(',')
        .find_map(|part| part.strip_prefix(name)?.strip_prefix('='))
}
