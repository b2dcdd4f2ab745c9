//! Lists the origins that streams may have, for streams whose own record is lost.
//!
//! The list is stored outside the instances, and an instance uses the endpoints of an origin only once the
//! list names it. A list that was read after a caller asked therefore names the origin of the caller's stream,
//! whatever happened to the instances in the meantime.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant, SystemTime};

use crate::stream::StreamOrigin;

/// Time for which an origin is missing here before the list states that no stream begins there any more.
const END_DELAY: Duration = Duration::from_secs(10);
/// Time after its end during which an instance that has not noticed it may still begin streams at an origin.
const LATE_USE_MAX: Duration = Duration::from_secs(30);
/// Time after which an origin that has ended is removed from the list.
const ENDED_RETENTION: Duration = Duration::from_secs(600);

/// The origins at which streams may have begun.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct OriginList {
    /// Each origin with the time from which on no stream begins there; `None` if it serves.
    origins: BTreeMap<StreamOrigin, Option<SystemTime>>,
}

impl OriginList {
    /// Creates a list of origins with the times at which they ended.
    pub fn new(origins: impl IntoIterator<Item = (StreamOrigin, Option<SystemTime>)>) -> Self {
        Self { origins: origins.into_iter().collect() }
    }

    /// All origins with the times at which they ended.
    pub fn origins(&self) -> impl Iterator<Item = (&StreamOrigin, Option<SystemTime>)> {
        self.origins.iter().map(|(origin, ended)| (origin, *ended))
    }

    /// Whether streams may begin at an origin.
    pub fn serves(&self, origin: &StreamOrigin) -> bool {
        self.origins.get(origin).is_some_and(Option::is_none)
    }

    /// The origin of every stream that began within the last `span`, if there is only one.
    pub fn sole_origin(&self, span: Duration, now: SystemTime) -> Option<&StreamOrigin> {
        let mut possible = self.possible(span, now);
        let sole = possible.next()?;
        possible.next().is_none().then_some(sole)
    }

    /// The origins of streams that began within the last `span`.
    fn possible(&self, span: Duration, now: SystemTime) -> impl Iterator<Item = &StreamOrigin> {
        let is_possible = move |ended: &Option<SystemTime>| {
            ended.is_none_or(|ended| ended + LATE_USE_MAX + span > now)
        };
        let possible = self.origins.iter().filter(move |(_, ended)| is_possible(ended));
        possible.map(|(origin, _)| origin)
    }
}

/// Compares the stored list with the origins in service here.
#[derive(Clone, Debug, Default)]
pub struct OriginTracker {
    /// The stored list as it was last read.
    list: OriginList,
    /// Origins that the list names according to other instances, but not as it was last read.
    learned: BTreeSet<StreamOrigin>,
    /// The origins of the endpoints that this instance knows.
    serving: BTreeSet<StreamOrigin>,
    /// When origins of the list went missing here; empty while not all endpoints are known.
    missing: BTreeMap<StreamOrigin, Instant>,
}

impl OriginTracker {
    /// Replaces the stored list by one that was read later.
    pub fn set_list(&mut self, list: OriginList, now: Instant) {
        self.learned.retain(|origin| !list.serves(origin));
        self.list = list;
        self.update_missing(now);
    }

    /// Adds origins that the list names according to another instance.
    pub fn learn(&mut self, origins: impl IntoIterator<Item = StreamOrigin>) {
        let list = &self.list;
        self.learned.extend(origins.into_iter().filter(|origin| !list.serves(origin)));
    }

    /// Replaces the origins in service. If they may be incomplete, none counts as missing.
    pub fn set_serving(
        &mut self,
        serving: BTreeSet<StreamOrigin>,
        is_complete: bool,
        now: Instant,
    ) {
        self.serving = serving;
        if is_complete {
            self.update_missing(now);
        } else {
            self.missing.clear();
        }
    }

    /// Whether the endpoints of an origin may be used.
    pub fn is_listed(&self, origin: &StreamOrigin) -> bool {
        self.list.serves(origin) || self.learned.contains(origin)
    }

    /// The origins whose endpoints may be used, for other instances.
    pub fn listed(&self) -> impl Iterator<Item = &StreamOrigin> {
        self.serving.iter().filter(|origin| self.is_listed(origin))
    }

    /// Whether endpoints cannot be used because the list does not name their origin.
    pub fn has_unlisted(&self) -> bool {
        self.serving.iter().any(|origin| !self.is_listed(origin))
    }

    /// Whether streams that began within the last `span` may have several origins, as far as is known here.
    pub fn has_several(&self, span: Duration, wall_now: SystemTime) -> bool {
        let listed = self.list.possible(span, wall_now);
        let origins: BTreeSet<_> = listed.chain(&self.learned).chain(&self.serving).collect();
        origins.len() > 1
    }

    /// The list that should replace the stored one, if it differs.
    pub fn changed_list(&self, now: Instant, wall_now: SystemTime) -> Option<OriginList> {
        let mut origins = self.list.origins.clone();
        origins.extend(self.serving.iter().map(|origin| (origin.clone(), None)));
        for (origin, since) in &self.missing {
            if now.saturating_duration_since(*since) >= END_DELAY {
                origins.entry(origin.clone()).and_modify(|ended| {
                    ended.get_or_insert(wall_now);
                });
            }
        }
        origins.retain(|_, ended| ended.is_none_or(|ended| ended + ENDED_RETENTION > wall_now));
        (origins != self.list.origins).then_some(OriginList { origins })
    }

    fn update_missing(&mut self, now: Instant) {
        let missing = self.list.origins.keys().filter(|origin| !self.serving.contains(origin));
        let since = |origin: &StreamOrigin| self.missing.get(origin).copied().unwrap_or(now);
        self.missing = missing.map(|origin| (origin.clone(), since(origin))).collect();
    }
}
