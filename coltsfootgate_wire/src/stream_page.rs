//! Encoding of the pages that name where recent streams began, in the platform's store.

use std::time::{Duration, SystemTime};

use serde::{Deserialize, Serialize};

use coltsfootgate_core::stream::{
    DIGEST_BYTES, PAGE_STREAMS_MAX, PageEntry, StreamDigest, StreamOrigin, StreamPage,
};

use crate::error::WireError;
use crate::frame::{decode, encode};
use crate::stream::WireStreamOrigin;

/// First byte of a stored page, which identifies the format of the rest.
const PAGE_FORMAT: u8 = 1;
/// Maximum number of origins on a page.
const ORIGINS_MAX: usize = 1024;

#[derive(Deserialize, Serialize)]
struct WirePage {
    /// Seconds since the Unix epoch from which the entries count.
    base_seconds: u64,
    origins: Vec<WireStreamOrigin>,
    entries: Vec<WireEntry>,
}

#[derive(Deserialize, Serialize)]
struct WireEntry {
    digest: [u8; DIGEST_BYTES],
    /// Position of the origin; none if the stream has several.
    origin: Option<u16>,
    /// When the entry expires, in seconds from the base.
    expires_seconds: u32,
}

/// Encodes a page for the platform's store.
///
/// # Errors
///
/// Fails if the page is too large for a value.
pub fn encode_stream_page(page: &StreamPage) -> Result<Vec<u8>, WireError> {
    let mut value = vec![PAGE_FORMAT];
    value.extend(encode(&WirePage::from(page))?);
    Ok(value)
}

/// Decodes a page from the platform's store.
///
/// # Errors
///
/// Fails unless the value is exactly one valid page.
pub fn decode_stream_page(value: &[u8]) -> Result<StreamPage, WireError> {
    let Some((&PAGE_FORMAT, page)) = value.split_first() else {
        return Err(WireError::WrongValue("page format"));
    };
    decode::<WirePage>(page)?.try_into()
}

/// Seconds since the Unix epoch, rounded up, so that no entry expires earlier than it says.
fn seconds(time: SystemTime) -> u64 {
    let since = time.duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
    since.as_millis().div_ceil(1000).try_into().unwrap_or(u64::MAX)
}

impl From<&StreamPage> for WirePage {
    fn from(page: &StreamPage) -> Self {
        let base_seconds = page.entries().map(|(_, entry)| seconds(entry.expires)).min();
        let base_seconds = base_seconds.unwrap_or_default();
        let mut origins: Vec<StreamOrigin> = Vec::new();
        let mut position = |origin: &StreamOrigin| {
            let known = origins.iter().position(|one| one == origin);
            let position = known.unwrap_or_else(|| {
                origins.push(origin.clone());
                origins.len() - 1
            });
            u16::try_from(position).ok()
        };
        let entries = page.entries().map(|(digest, entry)| WireEntry {
            digest: digest.0,
            origin: entry.origin.as_ref().and_then(&mut position),
            expires_seconds: u32::try_from(seconds(entry.expires) - base_seconds)
                .unwrap_or(u32::MAX),
        });
        let entries = entries.collect();
        let origins = origins.into_iter().map(WireStreamOrigin::from).collect();
        Self { base_seconds, origins, entries }
    }
}

impl TryFrom<WirePage> for StreamPage {
    type Error = WireError;

    fn try_from(page: WirePage) -> Result<Self, WireError> {
        if page.origins.len() > ORIGINS_MAX || page.entries.len() > PAGE_STREAMS_MAX {
            return Err(WireError::WrongValue("page"));
        }
        let origins = page.origins.into_iter().map(StreamOrigin::try_from);
        let origins = origins.collect::<Result<Vec<_>, _>>()?;
        let entries = page.entries.into_iter().map(|entry| {
            let origin = entry.origin.map(|position| {
                origins.get(usize::from(position)).cloned().ok_or(WireError::WrongValue("origin"))
            });
            let since = page.base_seconds.saturating_add(u64::from(entry.expires_seconds));
            let expires = SystemTime::UNIX_EPOCH.checked_add(Duration::from_secs(since));
            let expires = expires.ok_or(WireError::WrongValue("time"))?;
            Ok((StreamDigest(entry.digest), PageEntry { origin: origin.transpose()?, expires }))
        });
        entries.collect()
    }
}
