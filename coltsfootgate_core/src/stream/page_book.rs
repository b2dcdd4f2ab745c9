//! Decides which pages of streams an instance reads and writes.
//!
//! Load pattern: hundreds of streams begin each second, while several software versions serve, and all instances may
//! lose power at any moment. One instance writes for each group of streams what began since its last write.
//!
//! The failures that this is made for: two instances that each consider themselves first for a group; a writer that
//! was paused; a write whose answer is lost; a store that comes back from an older copy; a page that cannot be read.
//! A write is conditional on the revision that was read, and whoever finds another one joins it with its own.

use std::collections::{BTreeMap, BTreeSet};
use std::time::SystemTime;

use super::page::{PageTime, StreamPage};
use super::{RecordCopy, StreamGroup, stream_group};

/// Revision of a page in the store; 0 if there is none.
pub type PageRevision = u64;

/// A page to be written.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PageWrite {
    /// The group.
    pub group: StreamGroup,
    /// The revision that the page in the store must have.
    pub revision: PageRevision,
    /// The page.
    pub page: StreamPage,
}

/// The pages of the groups for which an instance writes.
#[derive(Clone, Debug, Default)]
pub struct PageBook {
    pages: BTreeMap<StreamGroup, KeptPage>,
}

#[derive(Clone, Debug, Default)]
struct KeptPage {
    page: StreamPage,
    /// The revision of the page in the store; `None` until it was read.
    revision: Option<PageRevision>,
    /// Whether the page says more than that in the store.
    is_changed: bool,
}

impl PageBook {
    /// Sets the groups for which this instance writes.
    pub fn set_groups(&mut self, groups: &BTreeSet<StreamGroup>) {
        self.pages.retain(|group, _| groups.contains(group));
        for group in groups {
            self.pages.entry(*group).or_default();
        }
    }

    /// The groups for which this instance writes.
    pub fn groups(&self) -> Vec<StreamGroup> {
        self.pages.keys().copied().collect()
    }

    /// Adds the records of streams in these groups, and removes what has expired.
    pub fn add(&mut self, copies: &[RecordCopy], now: PageTime) {
        for copy in copies {
            if let Some(kept) = self.pages.get_mut(&stream_group(&copy.key)) {
                kept.is_changed |= kept.page.add_record(copy, now);
            }
        }
        for kept in self.pages.values_mut() {
            kept.page.remove_expired(now.wall);
        }
    }

    /// The groups with something to write whose page must be read first.
    pub fn unread(&self) -> Vec<StreamGroup> {
        let unread = |kept: &KeptPage| kept.is_changed && kept.revision.is_none();
        self.pages.iter().filter(|(_, kept)| unread(kept)).map(|(group, _)| *group).collect()
    }

    /// Records a page that was read; `None` if it names nothing that can be used, and is to be replaced.
    pub fn read(
        &mut self,
        group: StreamGroup,
        revision: PageRevision,
        page: Option<StreamPage>,
        wall_now: SystemTime,
    ) {
        let Some(kept) = self.pages.get_mut(&group) else { return };
        let has_more = kept.page.join(page.unwrap_or_default());
        kept.page.remove_expired(wall_now);
        kept.is_changed = has_more && !kept.page.is_empty();
        kept.revision = Some(revision);
    }

    /// The pages to write, a number of them at most.
    pub fn changed(&self, count_max: usize) -> Vec<PageWrite> {
        let changed = self.pages.iter().filter(|(_, kept)| kept.is_changed);
        let writes = changed.filter_map(|(group, kept)| {
            Some(PageWrite { group: *group, revision: kept.revision?, page: kept.page.clone() })
        });
        writes.take(count_max).collect()
    }

    /// Records that pages were written, all with this revision.
    pub fn written(&mut self, writes: &[PageWrite], revision: PageRevision) {
        for write in writes {
            if let Some(kept) = self.pages.get_mut(&write.group) {
                kept.revision = Some(revision);
                kept.is_changed = kept.page.clone().join(write.page.clone());
            }
        }
    }

    /// Forgets what is in the store, which came back from an older copy: revisions are given out again, and what was
    /// written may be gone.
    pub fn forget_store(&mut self) {
        for kept in self.pages.values_mut() {
            kept.revision = None;
            kept.is_changed = !kept.page.is_empty();
        }
    }

    /// Records that pages were not written, or that it is not known whether they were: they are read again.
    pub fn not_written(&mut self, writes: &[PageWrite]) {
        for write in writes {
            if let Some(kept) = self.pages.get_mut(&write.group) {
                kept.revision = None;
            }
        }
    }
}
