//! The pieces of an answer on their way to a caller, bounded by their number and size.

use std::cell::{Cell, RefCell};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};

use bytes::Bytes;
use futures_channel::mpsc;
use futures_util::task::AtomicWaker;
use futures_util::{SinkExt, Stream};

use super::answer::AbortedTransfer;
use super::caller::CallerDisconnected;
use crate::transfer::{MemoryPart, MemoryShare, take_frame};

/// Number of pieces of an answer that are buffered for a slow caller; beyond it the relay waits,
/// and with it the endpoint.
const BUFFERED_PIECES_MAX: usize = 16;
/// Bytes that are buffered for a slow caller before the relay waits; a single larger piece still fits.
const BUFFERED_BYTES_MAX: usize = 64 * 1024;
/// Bytes that wait for a caller from which on it counts as slow.
const SLOW_BYTES: usize = 16 * 1024;
/// Bytes that the connections of a slow caller and of its endpoint hold besides, in their buffers.
const CONNECTION_BYTES: usize = 160 * 1024;

type AnswerPiece = Result<Bytes, AbortedTransfer>;

/// The bytes that wait for the connection, and the relay that waits until they are fewer.
#[derive(Debug)]
struct PieceRoom {
    bytes: Cell<usize>,
    /// The memory of the bytes and of the connections that they keep busy.
    share: RefCell<MemoryShare>,
    sender: AtomicWaker,
}

impl PieceRoom {
    fn set_bytes(&self, bytes: usize) {
        self.bytes.set(bytes);
        let held = if bytes < SLOW_BYTES { 0 } else { bytes + CONNECTION_BYTES };
        self.share.borrow_mut().record(held);
    }

    /// Whether the next piece may come: if all that is held for slow callers is too much, only once this one has read
    /// what it has.
    fn has_room(&self) -> bool {
        let bytes = self.bytes.get();
        bytes == 0 || bytes < BUFFERED_BYTES_MAX && !self.share.borrow().is_part_full()
    }
}

/// The relay's end of the pieces of an answer.
#[derive(Debug)]
pub struct PieceSender {
    pieces: mpsc::Sender<AnswerPiece>,
    room: Rc<PieceRoom>,
}

/// The connection's end of the pieces of an answer.
#[derive(Debug)]
pub struct PieceReceiver {
    pieces: mpsc::Receiver<AnswerPiece>,
    /// What is left of the piece that is being written.
    current: Bytes,
    room: Rc<PieceRoom>,
}

/// Creates both ends; what waits between them draws on `memory`.
pub fn piece_channel(memory: &MemoryPart) -> (PieceSender, PieceReceiver) {
    let (sender, pieces) = mpsc::channel(BUFFERED_PIECES_MAX);
    let (bytes, share) = (Cell::new(0), RefCell::new(memory.share()));
    let room = Rc::new(PieceRoom { bytes, share, sender: AtomicWaker::new() });
    let receiver = PieceReceiver { pieces, current: Bytes::new(), room: room.clone() };
    (PieceSender { pieces: sender, room }, receiver)
}

impl PieceSender {
    /// Sends a piece, and waits while too many or too large ones are buffered.
    ///
    /// # Errors
    ///
    /// Fails if the caller has disconnected.
    pub async fn send(&mut self, piece: Bytes) -> Result<(), CallerDisconnected> {
        std::future::poll_fn(|context| self.poll_room(context)).await;
        self.room.set_bytes(self.room.bytes.get() + piece.len());
        self.pieces.send(Ok(piece)).await.map_err(|_| CallerDisconnected)
    }

    /// Sends the error that aborts the transfer.
    pub async fn abort(mut self) {
        // Fails if the caller has disconnected.
        let _ = self.pieces.send(Err(AbortedTransfer)).await;
    }

    fn poll_room(&self, context: &mut Context<'_>) -> Poll<()> {
        if self.pieces.is_closed() || self.room.has_room() {
            return Poll::Ready(());
        }
        self.room.sender.register(context.waker());
        Poll::Pending
    }
}

impl Stream for PieceReceiver {
    type Item = AnswerPiece;

    fn poll_next(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Option<AnswerPiece>> {
        loop {
            if let Some(frame) = take_frame(&mut self.current) {
                self.room.set_bytes(self.room.bytes.get().saturating_sub(frame.len()));
                self.room.sender.wake();
                return Poll::Ready(Some(Ok(frame)));
            }
            match ready!(Pin::new(&mut self.pieces).poll_next(context)) {
                Some(Ok(piece)) => self.current = piece,
                ended => return Poll::Ready(ended),
            }
        }
    }
}

impl Drop for PieceReceiver {
    fn drop(&mut self) {
        self.pieces.close();
        self.room.set_bytes(0);
        self.room.sender.wake();
    }
}
