//! A blocking caller that notes when the tokens of a streamed answer arrive.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use serde_json::json;

const CALL_TIMEOUT: Duration = Duration::from_secs(20);
const TOKEN_MARK: &[u8] = br#""content":""#;
const DONE_MARK: &[u8] = b"data: [DONE]\n\n";
const TRANSFER_END: &[u8] = b"\r\n0\r\n\r\n";
/// Heads arrive in one piece on loopback.
const SUCCESS: &[u8] = b"HTTP/1.1 200";
const READ_MAX: usize = 64 * 1024;

/// When the tokens of an answer arrived.
#[derive(Clone, Debug)]
pub(super) struct AnswerTimes {
    pub(super) first_token: Duration,
    /// Times between reads that brought tokens.
    pub(super) gaps: Vec<Duration>,
    /// The head of the answer.
    pub(super) head: String,
}

/// A connection that is kept between calls.
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
        Ok(Self { stream, address, buffer: vec![0; READ_MAX] })
    }

    /// Makes one call and tells of each read how many tokens it brought.
    ///
    /// The call breaks off once `arrived` returns false.
    pub(super) fn call(
        &mut self,
        model: &str,
        prompt: &str,
        max_tokens: u32,
        mut arrived: impl FnMut(Instant, u32) -> bool,
    ) -> io::Result<AnswerTimes> {
        let request = self.request(model, prompt, max_tokens);
        let begun = Instant::now();
        self.stream.write_all(request.as_bytes())?;
        let mut answer = Vec::new();
        let mut counted = 0;
        let mut token_reads: Vec<Instant> = Vec::new();
        loop {
            let length = self.stream.read(&mut self.buffer)?;
            let now = Instant::now();
            answer.extend_from_slice(&self.buffer[..length]);
            let (tokens, end) = count_marks(&answer[counted..], TOKEN_MARK);
            counted += end;
            if tokens > 0 {
                token_reads.push(now);
                if !arrived(now, tokens) {
                    return Err(io::ErrorKind::Interrupted.into());
                }
            }
            let is_whole = answer.ends_with(TRANSFER_END) && contains(&answer, DONE_MARK);
            if is_whole {
                break;
            }
            if length == 0 || answer.ends_with(TRANSFER_END) || !answer.starts_with(SUCCESS) {
                let text = String::from_utf8_lossy(&answer).into_owned();
                return Err(io::Error::other(format!("no whole stream: {text}")));
            }
        }
        let first = token_reads.first().ok_or(io::ErrorKind::InvalidData)?;
        let gaps = token_reads.windows(2).map(|pair| pair[1] - pair[0]).collect();
        let head_end = answer.windows(4).position(|bytes| bytes == b"\r\n\r\n").unwrap_or(0);
        let head = String::from_utf8_lossy(&answer[..head_end]).into_owned();
        Ok(AnswerTimes { first_token: *first - begun, gaps, head })
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

/// How often a mark occurs, and the position after the last one.
fn count_marks(bytes: &[u8], mark: &[u8]) -> (u32, usize) {
    let mut count = 0;
    let mut end = 0;
    while let Some(position) = bytes[end..].windows(mark.len()).position(|part| part == mark) {
        count += 1;
        end += position + mark.len();
    }
    // What is left may hold the beginning of a mark only.
    let end = end.max((bytes.len() + 1).saturating_sub(mark.len()));
    (count, end)
}

fn contains(bytes: &[u8], mark: &[u8]) -> bool {
    let tail = bytes.len().saturating_sub(4 * mark.len());
    bytes[tail..].windows(mark.len()).any(|part| part == mark)
}
