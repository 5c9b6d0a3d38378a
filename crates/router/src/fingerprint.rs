//! Fingerprints that identify equal requests regardless of their ids, by method, host, path with
//! query, organisation and body; and fingerprints of the parts of prompts that requests share.
//!
//! Each attempt of a caller has its own id, also when the same request is sent to another relay.
//! Whether a request crashes the replicas that run it can only be seen if its attempts are
//! recognised as the same request. Callers choose their bodies, so the fingerprint is a
//! cryptographic hash: no caller can craft a body whose fingerprint equals that of another
//! organisation's request. It is truncated to half its bits, since every byte may be sent to
//! hundreds of relays.

use std::fmt::{Debug, Display, Formatter, Result};

use sha2::{Digest, Sha256};

/// Length of a fingerprint in bytes.
pub const FINGERPRINT_BYTES: usize = 16;

/// The parts of a request that are equal in all its attempts.
#[derive(Clone, Copy, Debug)]
pub struct RequestParts<'a> {
    /// HTTP method.
    pub method: &'a str,
    /// Host without port. Case is ignored.
    pub host: &'a str,
    /// Path with query.
    pub target: &'a str,
    /// Organisation of the API key; `None` if the route needs no key.
    pub organisation: Option<&'a str>,
    /// Request body.
    pub body: &'a [u8],
}

/// Fingerprint of a request. Displayed as hexadecimal digits.
#[derive(Clone, Copy, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct RequestFingerprint([u8; FINGERPRINT_BYTES]);

impl RequestFingerprint {
    /// Computes the fingerprint of a request. Each part is hashed with its length, so that moving a
    /// boundary between parts changes the fingerprint.
    pub fn of(parts: &RequestParts<'_>) -> Self {
        let mut hash = Sha256::new();
        let host = parts.host.to_ascii_lowercase();
        let organisation = parts.organisation.unwrap_or_default();
        for text in [parts.method, &host, parts.target, organisation] {
            hash.update((text.len() as u64).to_le_bytes());
            hash.update(text);
        }
        hash.update([u8::from(parts.organisation.is_some())]);
        hash.update(parts.body);
        Self::truncate(&hash.finalize())
    }

    /// Computes the fingerprint of a part of a prompt, by its id and the service that runs it.
    pub fn of_prompt_part(service: &str, id: u64) -> Self {
        let mut hash = Sha256::new();
        hash.update(b"prompt part");
        hash.update(id.to_le_bytes());
        hash.update(service);
        Self::truncate(&hash.finalize())
    }

    fn truncate(digest: &[u8]) -> Self {
        let mut bytes = [0; FINGERPRINT_BYTES];
        bytes.copy_from_slice(&digest[..FINGERPRINT_BYTES]);
        Self(bytes)
    }

    /// Creates a fingerprint from the bytes that [`RequestFingerprint::bytes`] returned.
    pub fn from_bytes(bytes: [u8; FINGERPRINT_BYTES]) -> Self {
        Self(bytes)
    }

    /// Returns the bytes, as sent to other relays.
    pub fn bytes(&self) -> [u8; FINGERPRINT_BYTES] {
        self.0
    }

    /// Parses hexadecimal digits. Returns `None` unless there are exactly two per byte.
    pub fn parse(digits: &str) -> Option<Self> {
        let mut bytes = [0; FINGERPRINT_BYTES];
        if digits.len() != FINGERPRINT_BYTES * 2 || !digits.is_ascii() {
            return None;
        }
        for (byte, pair) in bytes.iter_mut().zip(digits.as_bytes().chunks(2)) {
            let pair = std::str::from_utf8(pair).ok()?;
            *byte = u8::from_str_radix(pair, 16).ok()?;
        }
        Some(Self(bytes))
    }
}

impl Display for RequestFingerprint {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> Result {
        self.0.iter().try_for_each(|byte| write!(formatter, "{byte:02x}"))
    }
}

impl Debug for RequestFingerprint {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> Result {
        Display::fmt(self, formatter)
    }
}
