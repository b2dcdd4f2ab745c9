//! A reader that fails after a number of bytes.

use std::io::{Error, ErrorKind};

use monoio::BufResult;
use monoio::buf::{IoBufMut, IoVecBufMut};
use monoio::io::AsyncReadRent;

/// Reads from a connection and fails once more than a number of bytes was read.
///
/// Needed because the decoder of monoio-http accepts a head of any size and panics on a header name
/// longer than 64 KiB.
#[derive(Debug)]
pub(super) struct BoundedReader<R> {
    reader: R,
    bytes_left: usize,
}

impl<R> BoundedReader<R> {
    pub(super) fn new(reader: R, bytes_max: usize) -> Self {
        Self { reader, bytes_left: bytes_max }
    }

    fn count<T>(&mut self, (result, buffer): BufResult<usize, T>) -> BufResult<usize, T> {
        let result = result.and_then(|bytes| match self.bytes_left.checked_sub(bytes) {
            Some(left) => {
                self.bytes_left = left;
                Ok(bytes)
            }
            None => Err(Error::new(ErrorKind::InvalidData, "request too large")),
        });
        (result, buffer)
    }
}

impl<R: AsyncReadRent> AsyncReadRent for BoundedReader<R> {
    async fn read<T: IoBufMut>(&mut self, buffer: T) -> BufResult<usize, T> {
        let result = self.reader.read(buffer).await;
        self.count(result)
    }

    async fn readv<T: IoVecBufMut>(&mut self, buffer: T) -> BufResult<usize, T> {
        let result = self.reader.readv(buffer).await;
        self.count(result)
    }
}
