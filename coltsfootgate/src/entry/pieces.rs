//! The pieces of an answer on their way to a caller, bounded by their number and size.

use std::cell::Cell;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use bytes::Bytes;
use futures_channel::mpsc;
use futures_util::task::AtomicWaker;
use futures_util::{SinkExt, Stream};

use super::answer::AbortedTransfer;
use super::caller::CallerDisconnected;

/// Number of pieces of an answer that are buffered for a slow caller; beyond it the relay waits,
/// and with it the endpoint.
const BUFFERED_PIECES_MAX: usize = 16;
/// Bytes that are buffered for a slow caller before the relay waits; a single larger piece still fits.
const BUFFERED_BYTES_MAX: usize = 64 * 1024;

type AnswerPiece = Result<Bytes, AbortedTransfer>;

/// The bytes that wait for the connection, and the relay that waits until they are fewer.
#[derive(Debug, Default)]
struct PieceRoom {
    bytes: Cell<usize>,
    sender: AtomicWaker,
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
    room: Rc<PieceRoom>,
}

/// Creates both ends.
pub fn piece_channel() -> (PieceSender, PieceReceiver) {
    let (sender, receiver) = mpsc::channel(BUFFERED_PIECES_MAX);
    let room = Rc::<PieceRoom>::default();
    (PieceSender { pieces: sender, room: room.clone() }, PieceReceiver { pieces: receiver, room })
}

impl PieceSender {
    /// Sends a piece, and waits while too many or too large ones are buffered.
    ///
    /// # Errors
    ///
    /// Fails if the caller has disconnected.
    pub async fn send(&mut self, piece: Bytes) -> Result<(), CallerDisconnected> {
        std::future::poll_fn(|context| self.poll_room(context)).await;
        self.room.bytes.set(self.room.bytes.get() + piece.len());
        self.pieces.send(Ok(piece)).await.map_err(|_| CallerDisconnected)
    }

    /// Sends the error that aborts the transfer.
    pub async fn abort(mut self) {
        // Fails if the caller has disconnected.
        let _ = self.pieces.send(Err(AbortedTransfer)).await;
    }

    fn poll_room(&self, context: &mut Context<'_>) -> Poll<()> {
        if self.pieces.is_closed() || self.room.bytes.get() < BUFFERED_BYTES_MAX {
            return Poll::Ready(());
        }
        self.room.sender.register(context.waker());
        Poll::Pending
    }
}

impl Stream for PieceReceiver {
    type Item = AnswerPiece;

    fn poll_next(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Option<AnswerPiece>> {
        let piece = Pin::new(&mut self.pieces).poll_next(context);
        if let Poll::Ready(Some(Ok(piece))) = &piece {
            self.room.bytes.set(self.room.bytes.get().saturating_sub(piece.len()));
            self.room.sender.wake();
        }
        piece
    }
}

impl Drop for PieceReceiver {
    fn drop(&mut self) {
        self.pieces.close();
        self.room.sender.wake();
    }
}
