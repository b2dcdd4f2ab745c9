//! One account for the memory that a process holds for callers and for other instances.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use bytes::{Bytes, BytesMut};

/// Memory of a machine whose settings do not state it, in MB: that of the smallest.
pub const DEFAULT_MACHINE_MB: usize = 160;
/// Bytes of a MB.
const MB: usize = 1 << 20;

/// What memory is held for. Each use has a part of the account that the others cannot take.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum MemoryUse {
    /// The bodies of callers' requests.
    Requests,
    /// Answers that are buffered whole, until their callers have read them.
    Answers,
    /// Answers that are passed on as they arrive, and wait for callers that read slowly.
    SlowCallers,
    /// Messages of other instances, with the requests to forward for them.
    Forwards,
    /// What arrives of answers that other instances forward to this one.
    ForwardedAnswers,
}

impl MemoryUse {
    /// All uses.
    pub const ALL: [Self; 5] =
        [Self::Requests, Self::Answers, Self::SlowCallers, Self::Forwards, Self::ForwardedAnswers];

    /// The name used in metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Requests => "requests",
            Self::Answers => "answers",
            Self::SlowCallers => "slow-callers",
            Self::Forwards => "forwards",
            Self::ForwardedAnswers => "forwarded-answers",
        }
    }

    /// The part of this use, in thousandths of the memory of the machine. A third of it is left for the process
    /// itself and for what the sockets hold.
    fn permille(self) -> usize {
        match self {
            Self::Requests => 300,
            Self::Answers => 175,
            Self::SlowCallers => 50,
            Self::Forwards | Self::ForwardedAnswers => 75,
        }
    }

    /// Bytes of each share that do not draw on the part, so that what is small is never refused.
    fn free_bytes(self) -> usize {
        match self {
            Self::Requests => 8 * 1024,
            Self::Answers => 64 * 1024,
            Self::Forwards => 16 * 1024,
            Self::SlowCallers | Self::ForwardedAnswers => 0,
        }
    }
}

/// The memory held for others, by use; clones share the same account.
#[derive(Clone, Debug)]
pub struct MemoryAccount {
    parts: [MemoryPart; MemoryUse::ALL.len()],
}

impl MemoryAccount {
    /// Creates the account of a process on a machine with so many MB.
    pub fn new(machine_mb: usize) -> Self {
        Self { parts: MemoryUse::ALL.map(|purpose| MemoryPart::new(purpose, machine_mb)) }
    }

    /// The part of a use.
    pub fn part(&self, purpose: MemoryUse) -> &MemoryPart {
        &self.parts[purpose as usize]
    }

    /// All parts.
    pub fn parts(&self) -> &[MemoryPart] {
        &self.parts
    }

    /// Whether more is held than all parts allow together, since some of it came without being asked for. Nothing
    /// new is begun then, small as it may be.
    pub fn is_overdrawn(&self) -> bool {
        let held: usize = self.parts.iter().map(MemoryPart::held).sum();
        held > self.parts.iter().map(|part| part.bytes_max).sum()
    }
}

impl Default for MemoryAccount {
    fn default() -> Self {
        Self::new(DEFAULT_MACHINE_MB)
    }
}

/// The memory that may be held for one use; clones share the same part.
#[derive(Clone, Debug)]
pub struct MemoryPart {
    /// What it is for.
    pub purpose: MemoryUse,
    /// Bytes that may be held.
    pub bytes_max: usize,
    held: Arc<AtomicUsize>,
}

impl MemoryPart {
    fn new(purpose: MemoryUse, machine_mb: usize) -> Self {
        let bytes_max = machine_mb * MB / 1000 * purpose.permille();
        Self { purpose, bytes_max, held: Arc::default() }
    }

    /// Bytes that are held; more than allowed if they arrived without being asked for.
    pub fn held(&self) -> usize {
        self.held.load(Ordering::Relaxed)
    }

    /// Whether a share of this size would be covered now.
    pub fn covers(&self, bytes: usize) -> bool {
        self.has_room(self.charge(bytes))
    }

    /// Starts an empty share.
    pub fn share(&self) -> MemoryShare {
        MemoryShare { part: self.clone(), charged: 0 }
    }

    /// Takes a share of this size; `None` if the part does not cover it.
    pub fn take(&self, bytes: usize) -> Option<MemoryShare> {
        let mut share = self.share();
        share.ask(bytes).then_some(share)
    }

    fn charge(&self, bytes: usize) -> usize {
        bytes.saturating_sub(self.purpose.free_bytes())
    }

    fn has_room(&self, more: usize) -> bool {
        more == 0 || self.held().saturating_add(more) <= self.bytes_max
    }
}

/// A share of a part, which returns to it when it is dropped. It belongs with the bytes that it stands for: see
/// [`HeldBuffer`].
#[derive(Debug)]
pub struct MemoryShare {
    part: MemoryPart,
    charged: usize,
}

impl MemoryShare {
    /// Asks for another size; `false`, and nothing changes, if the part does not cover it.
    pub fn ask(&mut self, bytes: usize) -> bool {
        let more = self.part.charge(bytes).saturating_sub(self.charged);
        let is_covered = self.part.has_room(more);
        if is_covered {
            self.record(bytes);
        }
        is_covered
    }

    /// Whether the part of this share holds all that it may, or more.
    pub fn is_part_full(&self) -> bool {
        self.part.held() >= self.part.bytes_max
    }

    /// Records the size of bytes that are held already, whether or not the part covers it.
    pub fn record(&mut self, bytes: usize) {
        let charge = self.part.charge(bytes);
        let held = &self.part.held;
        held.fetch_add(charge, Ordering::Relaxed);
        held.fetch_sub(self.charged, Ordering::Relaxed);
        self.charged = charge;
    }
}

impl Drop for MemoryShare {
    fn drop(&mut self) {
        self.part.held.fetch_sub(self.charged, Ordering::Relaxed);
    }
}

/// The part of the account does not cover what is asked for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct MemoryFull;

/// Bytes that arrive in pieces, with their share.
#[derive(Debug)]
pub struct HeldBuffer {
    content: BytesMut,
    share: MemoryShare,
    /// Bytes that were announced, for which there is room without a copy.
    announced: usize,
}

impl HeldBuffer {
    /// Creates a buffer for a number of bytes if it is known, which draws on the part as they arrive.
    pub fn new(part: &MemoryPart, announced: Option<usize>) -> Self {
        // Room for what will not be covered would be of no use.
        let announced = announced.filter(|bytes| part.covers(*bytes)).unwrap_or(0);
        let content = BytesMut::with_capacity(announced);
        Self { content, share: part.share(), announced }
    }

    /// Creates a buffer for a number of bytes for which the share was taken already.
    pub fn with_share(share: MemoryShare, announced: usize) -> Self {
        Self { content: BytesMut::with_capacity(announced), share, announced }
    }

    /// Number of bytes that have arrived.
    pub fn len(&self) -> usize {
        self.content.len()
    }

    /// Whether no byte has arrived.
    pub fn is_empty(&self) -> bool {
        self.content.is_empty()
    }

    /// Appends a piece.
    ///
    /// # Errors
    ///
    /// Fails if the part does not cover the bytes; they are in the buffer nevertheless.
    pub fn extend(&mut self, piece: &[u8]) -> Result<(), MemoryFull> {
        self.content.extend_from_slice(piece);
        let used = match self.content.len() {
            length if length <= self.announced => length,
            _ => self.content.capacity(),
        };
        if self.share.charged >= self.share.part.charge(used) || self.share.ask(used) {
            return Ok(());
        }
        self.share.record(used);
        Err(MemoryFull)
    }

    /// The bytes. Their share lasts until the last copy and slice of them is dropped.
    pub fn freeze(self) -> Bytes {
        let Self { content, share, .. } = self;
        if share.charged == 0 {
            return content.freeze();
        }
        Bytes::from_owner(HeldBytes { content, _share: share })
    }
}

/// Bytes that keep their share.
struct HeldBytes {
    content: BytesMut,
    _share: MemoryShare,
}

impl AsRef<[u8]> for HeldBytes {
    fn as_ref(&self) -> &[u8] {
        &self.content
    }
}
