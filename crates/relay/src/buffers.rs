//! Reads bodies within the memory that all of them may use together.

use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use bytes::{Bytes, BytesMut};
use derive_more::{Display, Error};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use switchfold_router::buffers::{BufferLedger, FREE_BYTES, LengthKind};
use tokio::time::timeout;

/// Memory for buffered bodies, of responses or of requests. Clones share it.
#[derive(Clone, Debug, Default)]
pub struct BodyBuffers {
    ledger: Arc<Mutex<BufferLedger>>,
}

impl BodyBuffers {
    /// Creates empty pools of this size, in bytes.
    pub fn new(pool_bytes: usize) -> Self {
        Self { ledger: Arc::new(Mutex::new(BufferLedger::new(pool_bytes))) }
    }

    /// Returns an empty share for one body.
    pub fn share(&self, kind: LengthKind) -> BufferShare {
        BufferShare { buffers: self.clone(), kind, held: 0 }
    }

    fn ledger(&self) -> MutexGuard<'_, BufferLedger> {
        self.ledger.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Memory that one body uses, given back when dropped.
#[derive(Debug)]
pub struct BufferShare {
    buffers: BodyBuffers,
    kind: LengthKind,
    held: usize,
}

impl BufferShare {
    /// Changes the share to `wanted` bytes. Returns whether that is allowed.
    pub fn resize(&mut self, wanted: usize) -> bool {
        let is_allowed = self.buffers.ledger().resize(self.kind, self.held, wanted);
        if is_allowed {
            self.held = wanted;
        }
        is_allowed
    }

    /// Returns bytes that keep this share until their last reference is dropped.
    fn hold(self, bytes: Bytes) -> Bytes {
        match bytes.len() <= FREE_BYTES {
            true => bytes,
            false => Bytes::from_owner(HeldBytes { bytes, _share: self }),
        }
    }
}

impl Drop for BufferShare {
    fn drop(&mut self) {
        self.resize(0);
    }
}

struct HeldBytes {
    bytes: Bytes,
    _share: BufferShare,
}

impl AsRef<[u8]> for HeldBytes {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

/// Why a body was not read to its end.
#[derive(Debug, Display, Error)]
pub enum BodyError {
    /// It is larger than a single body may be.
    #[display("larger than {limit} bytes")]
    TooLarge {
        /// Maximum size, in bytes.
        limit: usize,
    },
    /// It is larger than all buffered bodies allow at the moment.
    #[display("no memory for more than {read} bytes")]
    NoMemory {
        /// Number of bytes that were read.
        read: usize,
    },
    /// The connection failed.
    #[display("{_0}")]
    Broken(hyper::Error),
}

impl BodyError {
    /// Returns whether the sender sent more than the relay accepts.
    pub fn is_excessive(&self) -> bool {
        matches!(self, Self::TooLarge { .. } | Self::NoMemory { .. })
    }
}

/// Reads a body of at most `limit` bytes. The bytes count as buffered until they are dropped.
///
/// # Errors
///
/// Fails if the connection fails or the body is too large.
pub async fn read_body(
    buffers: &BodyBuffers,
    mut body: Incoming,
    limit: usize,
) -> Result<Bytes, BodyError> {
    let declared = body.size_hint().exact().map(|len| usize::try_from(len).unwrap_or(usize::MAX));
    if declared.is_some_and(|len| len > limit) {
        return Err(BodyError::TooLarge { limit });
    }
    let kind = declared.map_or(LengthKind::Open, |_| LengthKind::Declared);
    let mut share = buffers.share(kind);
    let mut bytes = BytesMut::new();
    let capacity = declared.unwrap_or_default();
    if !share.resize(capacity) {
        return Err(BodyError::NoMemory { read: 0 });
    }
    bytes.reserve(capacity);
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame.map_err(BodyError::Broken)?.into_data() else { continue };
        let len = bytes.len() + data.len();
        if len > limit {
            return Err(BodyError::TooLarge { limit });
        }
        if len > bytes.capacity() {
            let doubled = len.max(bytes.capacity() * 2).min(limit);
            let capacity = if share.resize(doubled) { doubled } else { len };
            if !share.resize(capacity) {
                return Err(BodyError::NoMemory { read: bytes.len() });
            }
            bytes.reserve(capacity - bytes.len());
        }
        bytes.extend_from_slice(&data);
    }
    Ok(share.hold(bytes.freeze()))
}

/// Time for which the rest of a body that nobody needs is awaited.
const DISCARD_TIMEOUT: Duration = Duration::from_millis(20);

/// Reads the rest of a body without keeping it, so that its connection can be reused. Returns whether it
/// ended in time and within `limit` bytes.
pub async fn discard_body(mut body: Incoming, limit: usize) -> bool {
    let reading = async {
        let mut len = 0;
        while let Some(frame) = body.frame().await {
            len += frame.ok()?.data_ref().map_or(0, Bytes::len);
            if len > limit {
                return None;
            }
        }
        Some(())
    };
    matches!(timeout(DISCARD_TIMEOUT, reading).await, Ok(Some(())))
}
