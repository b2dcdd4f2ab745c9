//! Determines how the end of an answer is marked.

use coltsfootgate_core::answer::AnswerFraming;
use http::{HeaderMap, header};
use hyper::body::{Body, Incoming};

/// Returns the framing of an answer with these headers and this body.
pub fn answer_framing(headers: &HeaderMap, body: &Incoming) -> AnswerFraming {
    if body.size_hint().exact().is_some() {
        AnswerFraming::Length
    } else if is_chunked(headers) {
        AnswerFraming::Chunks
    } else {
        AnswerFraming::ConnectionClose
    }
}

/// Whether the last coding of the transfer is the chunked one, which alone marks the end.
fn is_chunked(headers: &HeaderMap) -> bool {
    let codings = headers.get_all(header::TRANSFER_ENCODING).iter().next_back();
    let codings = codings.and_then(|codings| codings.to_str().ok()).unwrap_or_default();
    let last = codings.rsplit(',').next().unwrap_or_default();
    last.trim().eq_ignore_ascii_case("chunked")
}
