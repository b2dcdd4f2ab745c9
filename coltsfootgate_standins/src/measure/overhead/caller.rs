//! A blocking HTTP client that records when the tokens of a streamed answer arrive.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use serde_json::json;

const CALL_TIMEOUT: Duration = Duration::from_secs(20);
/// Occurs once in the event of each token.
const TOKEN_MARKER: &[u8] = br#""content":""#;
/// The last event of a complete answer.
const DONE_MARKER: &[u8] = b"data: [DONE]\n\n";
/// The last chunk of the chunked transfer coding.
const LAST_CHUNK: &[u8] = b"\r\n0\r\n\r\n";
/// Start of a successful answer; on loopback the first read always returns the complete head.
const SUCCESS_STATUS: &[u8] = b"HTTP/1.1 200";
const READ_BUFFER_BYTES: usize = 64 * 1024;

/// When the tokens of an answer arrived.
#[derive(Clone, Debug)]
pub(super) struct AnswerTimes {
    /// Time from the start of the call to the first token.
    pub(super) first_token: Duration,
    /// Times between successive reads that brought tokens.
    pub(super) gaps: Vec<Duration>,
    /// The head of the answer.
    pub(super) head: String,
}

/// A connection that is reused for successive calls.
#[derive(Debug)]
pub(super) struct StreamCaller {
    stream: TcpStream,
    address: SocketAddr,
    buffer: Vec<u8>,
}

impl StreamCaller {
    pub(super) fn connect(address: SocketAddr) -> io::Result<Self> {
        let stream = TcpStream::connect(address)?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(CALL_TIMEOUT))?;
        Ok(Self { stream, address, buffer: vec![0; READ_BUFFER_BYTES] })
    }

    /// Makes one call and passes the time and number of tokens of each read to `on_tokens`.
    ///
    /// Fails with `Interrupted` as soon as `on_tokens` returns false, and with another error if the
    /// answer isn't a complete stream. The connection can't be reused after an error.
    pub(super) fn call(
        &mut self,
        model: &str,
        prompt: &str,
        max_tokens: u32,
        mut on_tokens: impl FnMut(Instant, u32) -> bool,
    ) -> io::Result<AnswerTimes> {
        let request = self.request(model, prompt, max_tokens);
        let start = Instant::now();
        self.stream.write_all(request.as_bytes())?;
        let mut answer = Vec::new();
        let mut scanned = 0;
        let mut token_reads: Vec<Instant> = Vec::new();
        loop {
            let length = self.stream.read(&mut self.buffer)?;
            let now = Instant::now();
            answer.extend_from_slice(&self.buffer[..length]);
            let (tokens, end) = count_markers(&answer[scanned..], TOKEN_MARKER);
            scanned += end;
            if tokens > 0 {
                token_reads.push(now);
                if !on_tokens(now, tokens) {
                    return Err(io::ErrorKind::Interrupted.into());
                }
            }
            let is_complete = answer.ends_with(LAST_CHUNK) && tail_contains(&answer, DONE_MARKER);
            if is_complete {
                break;
            }
            if length == 0 || answer.ends_with(LAST_CHUNK) || !answer.starts_with(SUCCESS_STATUS) {
                let text = String::from_utf8_lossy(&answer).into_owned();
                return Err(io::Error::other(format!(
                    "incomplete or failed answer from {}: {text}",
                    self.address
                )));
            }
        }
        let first = token_reads.first().ok_or(io::ErrorKind::InvalidData)?;
        let gaps = token_reads.windows(2).map(|pair| pair[1] - pair[0]).collect();
        let head_end = answer.windows(4).position(|bytes| bytes == b"\r\n\r\n").unwrap_or(0);
        let head = String::from_utf8_lossy(&answer[..head_end]).into_owned();
        Ok(AnswerTimes { first_token: *first - start, gaps, head })
    }

    fn request(&self, model: &str, prompt: &str, max_tokens: u32) -> String {
        let messages = json!([{"role": "user", "content": prompt}]);
        let body = json!({
            "model": model, "stream": true, "max_tokens": max_tokens, "messages": messages,
        });
        let body = body.to_string();
        format!(
            "POST /v1/chat/completions HTTP/1.1\r\nhost: {}\r\nx-request-id: overhead\r\n\
             authorization: Bearer {}\r\ncontent-type: application/json\r\n\
             content-length: {}\r\n\r\n{body}",
            self.address,
            super::bench::CALLER_KEY,
            body.len(),
        )
    }
}

/// The number of complete markers, and the position from which to search once more bytes arrive.
fn count_markers(bytes: &[u8], marker: &[u8]) -> (u32, usize) {
    let mut count = 0;
    let mut end = 0;
    while let Some(position) = bytes[end..].windows(marker.len()).position(|part| part == marker) {
        count += 1;
        end += position + marker.len();
    }
    // The remaining bytes hold no complete marker, but may end with the start of one.
    let end = end.max((bytes.len() + 1).saturating_sub(marker.len()));
    (count, end)
}

/// Whether the marker occurs near the end, within four times its length.
fn tail_contains(bytes: &[u8], marker: &[u8]) -> bool {
    let tail = bytes.len().saturating_sub(4 * marker.len());
    bytes[tail..].windows(marker.len()).any(|part| part == marker)
}
