//! What makes two requests the same, whatever their ids: method, host, path with query, organisation and body.
//!
//! Each attempt of a caller has an id of its own, and so has the same request at another entry. What a request
//! does to those that run it shows only where its attempts are known to be one and the same. Callers choose
//! their bodies, so the fingerprint is a cryptographic hash: nobody makes a body whose fingerprint is that
//! of another organisation's request. Half of its bits are kept, since every byte may be told to hundreds of relays.

use std::fmt::{Debug, Display, Formatter, Result};

use sha2::{Digest, Sha256};

/// Bytes of a fingerprint.
pub const FINGERPRINT_BYTES: usize = 16;

/// What a caller asks for, without what differs from attempt to attempt.
#[derive(Clone, Copy, Debug)]
pub struct RequestParts<'a> {
    /// Method.
    pub method: &'a str,
    /// Host, without port.
    pub host: &'a str,
    /// Path and query.
    pub target: &'a str,
    /// Organisation of the key; nothing where none was needed.
    pub organisation: Option<&'a str>,
    /// Body.
    pub body: &'a [u8],
}

/// Fingerprint of a request.
#[derive(Clone, Copy, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct RequestFingerprint([u8; FINGERPRINT_BYTES]);

impl RequestFingerprint {
    /// Takes the fingerprint of a request. Each part goes in with its length, so that none runs into the next.
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
        let whole = hash.finalize();
        let mut kept = [0; FINGERPRINT_BYTES];
        kept.copy_from_slice(&whole[..FINGERPRINT_BYTES]);
        Self(kept)
    }

    /// Makes one of its bytes.
    pub fn from_bytes(bytes: [u8; FINGERPRINT_BYTES]) -> Self {
        Self(bytes)
    }

    /// Its bytes.
    pub fn bytes(&self) -> [u8; FINGERPRINT_BYTES] {
        self.0
    }

    /// Reads one from its hexadecimal digits.
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

/// Hexadecimal digits.
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
