//! The digest by which repeats of a request are recognized.

use sha2::{Digest, Sha256};

use coltsfootgate_core::quarantine::RequestDigest;

use crate::entry::AcceptedRequest;

/// Hashes what a request asks for and who asks: customer, method, host, path, query, body and the ids of the
/// prompt's parts, which may stand for a text that the body does not contain.
///
/// No caller can choose a request with the digest of another customer's: the hash is cryptographic, and
/// the customer is part of its input.
pub fn request_digest(customer: &str, accepted: &AcceptedRequest) -> RequestDigest {
    let host = accepted.headers.get(http::header::HOST).map(|host| host.as_bytes());
    let fields = [
        customer.as_bytes(),
        accepted.method.as_str().as_bytes(),
        host.unwrap_or_default(),
        accepted.target.as_bytes(),
        &accepted.body,
    ];
    let mut hasher = Sha256::new();
    for field in fields {
        // The length separates a field from the next one.
        hasher.update((field.len() as u64).to_le_bytes());
        hasher.update(field);
    }
    for part in &accepted.metadata.prompt.parts {
        hasher.update(part.id.to_le_bytes());
    }
    let digest = hasher.finalize();
    digest.iter().take(8).fold(0, |number, byte| number << 8 | RequestDigest::from(*byte))
}
