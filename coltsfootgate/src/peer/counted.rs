//! A stream that counts its bytes in the metrics.

use std::io;

use monoio::BufResult;
use monoio::buf::{IoBuf, IoBufMut, IoVecBuf, IoVecBufMut};
use monoio::io::{AsyncReadRent, AsyncWriteRent};
use monoio::net::TcpStream;

use crate::metrics::DaemonMetrics;

/// Counts the bytes sent and received over a connection between instances.
pub(super) struct CountedStream {
    stream: TcpStream,
    metrics: DaemonMetrics,
}

impl CountedStream {
    pub(super) fn new(stream: TcpStream, metrics: DaemonMetrics) -> Self {
        Self { stream, metrics }
    }
}

impl AsyncReadRent for CountedStream {
    async fn read<T: IoBufMut>(&mut self, buffer: T) -> BufResult<usize, T> {
        let (result, buffer) = self.stream.read(buffer).await;
        self.metrics.peer_bytes_received(result.as_ref().copied().unwrap_or(0));
        (result, buffer)
    }

    async fn readv<T: IoVecBufMut>(&mut self, buffer: T) -> BufResult<usize, T> {
        let (result, buffer) = self.stream.readv(buffer).await;
        self.metrics.peer_bytes_received(result.as_ref().copied().unwrap_or(0));
        (result, buffer)
    }
}

impl AsyncWriteRent for CountedStream {
    async fn write<T: IoBuf>(&mut self, buffer: T) -> BufResult<usize, T> {
        let (result, buffer) = self.stream.write(buffer).await;
        self.metrics.peer_bytes_sent(result.as_ref().copied().unwrap_or(0));
        (result, buffer)
    }

    async fn writev<T: IoVecBuf>(&mut self, buffer: T) -> BufResult<usize, T> {
        let (result, buffer) = self.stream.writev(buffer).await;
        self.metrics.peer_bytes_sent(result.as_ref().copied().unwrap_or(0));
        (result, buffer)
    }

    async fn flush(&mut self) -> io::Result<()> {
        self.stream.flush().await
    }

    async fn shutdown(&mut self) -> io::Result<()> {
        self.stream.shutdown().await
    }
}
