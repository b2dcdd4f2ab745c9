//! The wire format of the stand-in engine's requests and answers.

use bytes::Bytes;
use futures_channel::mpsc::UnboundedSender;
use serde::Deserialize;
use serde_json::json;

use super::batch::TokenSink;
use crate::answer_text::PromptDigest;
use crate::body::ConnectionCut;

/// The members of a request that the engine reads.
#[derive(Debug, Deserialize)]
pub(super) struct EngineRequest {
    #[serde(default)]
    pub(super) stream: bool,
    pub(super) max_tokens: Option<u32>,
    #[serde(default)]
    messages: Vec<ChatMessage>,
    #[serde(default)]
    prompt: String,
}

#[derive(Debug, Deserialize)]
struct ChatMessage {
    content: String,
}

impl EngineRequest {
    /// The text of the prompt, from `messages` or `prompt`.
    pub(super) fn prompt_text(&self) -> String {
        let contents = self.messages.iter().map(|message| message.content.as_str());
        contents.chain(Some(self.prompt.as_str())).collect::<Vec<_>>().join("\n").trim().to_owned()
    }
}

/// Which API the answer follows.
#[derive(Clone, Copy, Debug)]
pub(super) enum AnswerShape {
    Chat,
    Completion,
}

/// Writes one answer, as server-sent events or as a single JSON body.
#[derive(Debug)]
pub(super) struct AnswerWriter {
    pub(super) id: String,
    pub(super) digest: PromptDigest,
    pub(super) shape: AnswerShape,
    pub(super) streamed: bool,
    /// Number of leading tokens that are left out of the answer, because it is resumed after them.
    pub(super) offset: u32,
    /// Number of tokens after which the connection is cut.
    pub(super) cut_after: Option<u32>,
    pub(super) chunks: UnboundedSender<Result<Bytes, ConnectionCut>>,
}

impl AnswerWriter {
    fn send(&mut self, text: String) {
        let _ = self.chunks.unbounded_send(Ok(Bytes::from(text)));
    }

    fn event(&self, text: &str, finish_reason: &str, usage: &str) -> String {
        let (object, content) = match self.shape {
            AnswerShape::Chat if text.is_empty() => {
                ("chat.completion.chunk", r#""delta":{}"#.into())
            }
            AnswerShape::Chat => {
                ("chat.completion.chunk", format!(r#""delta":{{"content":"{text}"}}"#))
            }
            AnswerShape::Completion => ("text_completion", format!(r#""text":"{text}""#)),
        };
        let id = &self.id;
        format!(
            "data: {{\"id\":\"{id}\",\"object\":\"{object}\",\"choices\":[{{\"index\":0,{content},\
             \"finish_reason\":{finish_reason}}}]{usage}}}\n\n"
        )
    }
}

impl TokenSink for AnswerWriter {
    fn is_closed(&self) -> bool {
        self.chunks.is_closed()
    }

    fn write_token(&mut self, index: u32) {
        if self.cut_after.is_some_and(|tokens| index - self.offset >= tokens) {
            let _ = self.chunks.unbounded_send(Err(ConnectionCut));
            self.chunks.disconnect();
        } else if self.streamed {
            let event = self.event(&self.digest.token(index), "null", "");
            self.send(event);
        }
    }

    fn finish(&mut self, prompt_tokens: u32, answer_tokens: u32) {
        let total = prompt_tokens + answer_tokens;
        let usage = json!({
            "prompt_tokens": prompt_tokens,
            "completion_tokens": answer_tokens,
            "total_tokens": total,
        });
        if self.streamed {
            let event = self.event("", r#""stop""#, &format!(r#","usage":{usage}"#));
            self.send(event + "data: [DONE]\n\n");
            return;
        }
        let text = self.digest.text(self.offset, answer_tokens);
        let (object, mut choice) = match self.shape {
            AnswerShape::Chat => {
                ("chat.completion", json!({"message": {"role": "assistant", "content": text}}))
            }
            AnswerShape::Completion => ("text_completion", json!({"text": text})),
        };
        choice["index"] = json!(0);
        choice["finish_reason"] = json!("stop");
        let body = json!({"id": self.id, "object": object, "choices": [choice], "usage": usage});
        self.send(body.to_string());
    }
}
