//! Reads and writes the stored pages that name where recent streams began.

use std::cell::RefCell;
use std::collections::{BTreeSet, HashMap};
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, SystemTime};

use bytes::Bytes;
use futures_channel::mpsc::{UnboundedReceiver, UnboundedSender, unbounded};
use futures_channel::oneshot;
use futures_util::StreamExt;
use log::{info, warn};
use monoio::time::{sleep, timeout};

use coltsfootgate_core::stream::{
    PageBook, PageTime, PageWrite, RecordNumber, RecordedOrigin, StreamGroup, StreamKey,
    StreamPage, stream_group,
};
use coltsfootgate_wire::{decode_stream_page, encode_stream_page};

use super::StreamRegister;
use crate::clock;
use crate::metrics::DaemonMetrics;
use crate::platform::{PlatformError, PlatformStore, StoredValue, SwapResult, ValueSwap};
use crate::tree::TreeHandle;

/// Prefix of the keys of all pages.
const PAGES_PREFIX: &str = "coltsfootgate/streams/pages/";
/// Shortest interval between two writes: what began since the last one is lost with all instances.
const WRITE_PERIOD: Duration = Duration::from_millis(250);
/// Bytes of pages that an instance writes each second at most, on average.
const WRITE_BYTES_PER_SECOND: usize = 64_000;
/// Pages that one call writes at most. The platform takes 32 conditions and values in one.
const WRITE_PAGES_MAX: usize = 16;
/// Attempts to write the same pages, of which another instance may have written some meanwhile.
const WRITE_ATTEMPTS: usize = 2;
/// Pause after a failed call.
const RETRY_PAUSE: Duration = Duration::from_secs(1);
/// Time limit of a write, beside that of the call.
const WRITE_TIMEOUT: Duration = Duration::from_secs(2);
/// Longest time for which a question waits for a page.
const READ_TIMEOUT: Duration = Duration::from_millis(800);

/// What a stored page says of a stream.
#[derive(Clone, Debug)]
pub struct PageAnswer {
    /// Where the stream began.
    pub origin: RecordedOrigin,
    /// Time since the page was read.
    pub age: Duration,
}

/// A page that was read.
#[derive(Clone, Debug)]
struct ReadPage {
    page: Rc<StreamPage>,
    /// When the read was sent.
    sent: Duration,
}

/// Input of the [`PageReader`].
enum ReaderMessage {
    /// The page of a group is wanted as it is stored now or later; `None` is the answer if it can't be read.
    Wanted(StreamGroup, oneshot::Sender<Option<ReadPage>>),
    /// A read has ended.
    Ended(StreamGroup, Vec<oneshot::Sender<Option<ReadPage>>>, Option<ReadPage>),
}

/// Asks for what the stored pages say; clones share the same state.
#[derive(Clone)]
pub struct PagesHandle(Rc<PagesShared>);

struct PagesShared {
    messages: UnboundedSender<ReaderMessage>,
    /// The pages as they were last read. What they say stays true.
    read: RefCell<HashMap<StreamGroup, ReadPage>>,
}

impl PagesHandle {
    fn new() -> (Self, UnboundedReceiver<ReaderMessage>) {
        let (messages, receiver) = unbounded();
        (Self(Rc::new(PagesShared { messages, read: RefCell::default() })), receiver)
    }

    /// Creates a handle for endpoints that do not announce themselves, for which there are no pages.
    pub fn without_pages() -> Self {
        Self::new().0
    }

    /// What the stored page of a stream says of it. A page that was read before is enough if it names the stream.
    pub async fn find(&self, key: &StreamKey) -> Option<PageAnswer> {
        let group = stream_group(key);
        let known = self.0.read.borrow().get(&group).cloned();
        if let Some(answer) = known.map(|read| read.find(key))
            && answer.origin != RecordedOrigin::Unknown
        {
            return Some(answer);
        }
        let (answer, page) = oneshot::channel();
        // Fails if there are no pages, or while the process is ending.
        let _ = self.0.messages.unbounded_send(ReaderMessage::Wanted(group, answer));
        let read = timeout(READ_TIMEOUT, page).await.ok()?.ok()??;
        Some(read.find(key))
    }
}

impl ReadPage {
    fn find(&self, key: &StreamKey) -> PageAnswer {
        let age = clock::boot_time().saturating_sub(self.sent);
        PageAnswer { origin: self.page.find(key), age }
    }
}

/// Reads pages for those that ask; one read serves all that ask for a page before it is sent.
pub struct PageReader<S> {
    store: S,
    handle: PagesHandle,
    messages: UnboundedReceiver<ReaderMessage>,
    waiting: HashMap<StreamGroup, Vec<oneshot::Sender<Option<ReadPage>>>>,
    reading: BTreeSet<StreamGroup>,
    metrics: DaemonMetrics,
}

impl<S: PlatformStore + Clone + 'static> PageReader<S> {
    /// Creates the reader of an instance and its handle.
    pub fn new(store: S, metrics: DaemonMetrics) -> (Self, PagesHandle) {
        let (handle, messages) = PagesHandle::new();
        let (waiting, reading) = (HashMap::new(), BTreeSet::new());
        let reader = Self { store, handle: handle.clone(), messages, waiting, reading, metrics };
        (reader, handle)
    }

    /// Runs until the process ends.
    pub async fn run(mut self) {
        while let Some(message) = self.messages.next().await {
            match message {
                ReaderMessage::Wanted(group, answer) => {
                    self.waiting.entry(group).or_default().push(answer);
                    self.start_read(group);
                }
                ReaderMessage::Ended(group, waiting, page) => {
                    self.reading.remove(&group);
                    if let Some(page) = &page {
                        self.handle.0.read.borrow_mut().insert(group, page.clone());
                    }
                    for answer in waiting {
                        // Fails if the question timed out.
                        let _ = answer.send(page.clone());
                    }
                    self.start_read(group);
                }
            }
        }
    }

    /// Reads a page if somebody waits for it and it is not being read.
    fn start_read(&mut self, group: StreamGroup) {
        if self.reading.contains(&group) {
            return;
        }
        let Some(waiting) = self.waiting.remove(&group) else { return };
        self.reading.insert(group);
        let (store, handle) = (self.store.clone(), self.handle.clone());
        let metrics = self.metrics.clone();
        monoio::spawn(async move {
            let sent = clock::boot_time();
            let read = read_page(&store, group, &metrics).await;
            let page = read.ok().map(|(_, page)| {
                let page = Rc::new(page.unwrap_or_default());
                ReadPage { page, sent }
            });
            // Fails while the process is ending.
            let _ = handle.0.messages.unbounded_send(ReaderMessage::Ended(group, waiting, page));
        });
    }
}

/// Writes the pages of the groups for which this instance comes first, while streams may have several origins.
pub struct PageWriter<S> {
    store: S,
    streams: StreamRegister,
    tree: TreeHandle,
    metrics: DaemonMetrics,
    book: PageBook,
    /// The era of the store to which the book belongs.
    era: u64,
    /// The last record that is in the book.
    last_added: RecordNumber,
    is_reachable: bool,
}

impl<S: PlatformStore> PageWriter<S> {
    /// Creates the writer of an instance.
    pub fn new(
        store: S,
        streams: StreamRegister,
        tree: TreeHandle,
        metrics: DaemonMetrics,
    ) -> Self {
        let (book, era) = (PageBook::default(), store.era());
        Self { store, streams, tree, metrics, book, era, last_added: 0, is_reachable: true }
    }

    /// Runs until the process ends.
    pub async fn run(mut self) {
        let mut wait = WRITE_PERIOD;
        loop {
            sleep(wait).await;
            wait = WRITE_PERIOD;
            if !self.is_needed() {
                (self.book, self.last_added) = (PageBook::default(), 0);
                continue;
            }
            wait = match self.write_pages().await {
                Ok(bytes) => {
                    self.is_reachable = true;
                    let rate = WRITE_BYTES_PER_SECOND as f64;
                    wait.max(Duration::from_secs_f64(bytes as f64 / rate))
                }
                Err(error) => {
                    self.report_failure(&error);
                    RETRY_PAUSE
                }
            };
        }
    }

    /// Whether a stream without a record may have begun at several origins.
    fn is_needed(&self) -> bool {
        let Some(active) = self.tree.current() else { return false };
        let classes = active.tree.classes().filter(|class| class.is_stream && class.resume);
        let Some(timeout) = classes.map(|class| class.timeout).max() else { return false };
        self.streams.origins().has_several(super::stream_span(timeout))
    }

    /// Writes what began since the last write; returns the bytes that were written.
    async fn write_pages(&mut self) -> Result<usize, PlatformError> {
        self.update_book();
        let mut bytes = 0;
        for _ in 0..WRITE_ATTEMPTS {
            self.check_era();
            for group in self.book.unread() {
                let (revision, page) = read_page(&self.store, group, &self.metrics).await?;
                self.book.read(group, revision, page, SystemTime::now());
            }
            loop {
                let writes = self.book.changed(WRITE_PAGES_MAX);
                if writes.is_empty() {
                    return Ok(bytes);
                }
                match self.write(&writes).await? {
                    Some(written) => bytes += written,
                    None => break,
                }
            }
        }
        Ok(bytes)
    }

    /// Reads and writes all pages again if the store came back from an older copy.
    fn check_era(&mut self) {
        if self.store.era() != self.era {
            self.era = self.store.era();
            self.book.forget_store();
        }
    }

    /// Adds the records that were made since the last time, or all if this instance writes for other groups now.
    fn update_book(&mut self) {
        let groups = self.streams.first_groups();
        if groups != self.book.groups() {
            self.book.set_groups(&groups.iter().copied().collect());
            self.last_added = 0;
        }
        let (copies, last) = self.streams.copies_since(&groups, self.last_added);
        self.last_added = last;
        let now = PageTime { now: clock::now(), wall: SystemTime::now() };
        self.book.add(&copies, now);
    }

    /// Writes pages with one call; returns their bytes, or `None` if another instance has written one meanwhile.
    async fn write(&mut self, writes: &[PageWrite]) -> Result<Option<usize>, PlatformError> {
        let swaps = writes.iter().map(page_swap).collect::<Result<Vec<_>, _>>()?;
        let bytes = swaps.iter().map(|swap| swap.value.len()).sum();
        let written = timeout(WRITE_TIMEOUT, self.store.swap_all(swaps)).await;
        let written = written.unwrap_or(Err(PlatformError::TimedOut(WRITE_TIMEOUT)));
        let name = match &written {
            Ok(SwapResult::Written(_)) => "written",
            Ok(SwapResult::Conflict(_)) => "conflict",
            Err(_) => "error",
        };
        self.metrics.stream_page_called(name, writes.len());
        match written {
            Ok(SwapResult::Written(revision)) => {
                self.book.written(writes, revision);
                Ok(Some(bytes))
            }
            Ok(SwapResult::Conflict(_)) => {
                self.book.not_written(writes);
                Ok(None)
            }
            Err(error) => {
                self.book.not_written(writes);
                Err(error)
            }
        }
    }

    fn report_failure(&mut self, error: &PlatformError) {
        if self.is_reachable {
            warn!("could not read or write the pages of streams: {error}");
        }
        self.is_reachable = false;
    }
}

fn page_swap(write: &PageWrite) -> Result<ValueSwap, PlatformError> {
    let value = encode_stream_page(&write.page).map_err(PlatformError::malformed)?;
    let (key, value) = (page_key(write.group), Bytes::from(value));
    Ok(ValueSwap { key, revision: write.revision, value })
}

fn page_key(group: StreamGroup) -> Arc<str> {
    format!("{PAGES_PREFIX}{group}").into()
}

/// Reads a page with its revision. A value that is no page names nothing.
async fn read_page<S: PlatformStore>(
    store: &S,
    group: StreamGroup,
    metrics: &DaemonMetrics,
) -> Result<(u64, Option<StreamPage>), PlatformError> {
    let Some(StoredValue { revision, value }) = store.read(&page_key(group)).await? else {
        return Ok((0, None));
    };
    match decode_stream_page(&value) {
        Ok(page) => {
            metrics.stream_page_called("read", 1);
            Ok((revision, Some(page)))
        }
        Err(error) => {
            info!("the page of streams {group} names nothing: {error}");
            metrics.stream_page_called("unreadable", 1);
            Ok((revision, None))
        }
    }
}
