//! The check of streamed answers finds truncated and crossed ones.

use rstest::rstest;

use super::stream::StreamChecker;
use crate::answer_text::PromptDigest;

fn event(digest: PromptDigest, index: u32) -> String {
    let token = digest.token(index);
    format!("data: {{\"choices\":[{{\"delta\":{{\"content\":\"{token}\"}}}}]}}\n\n")
}

#[rstest]
#[case::whole("mine", &[0, 1, 2], true)]
#[case::truncated("mine", &[0, 1], false)]
#[case::gap("mine", &[0, 2], false)]
#[case::doubled("mine", &[0, 1, 1, 2], false)]
#[case::of_another_request("other", &[0, 1, 2], false)]
fn streamed_answer(#[case] prompt: &str, #[case] indices: &[u32], #[case] whole: bool) {
    let sent = PromptDigest::of(prompt);
    let events: String = indices.iter().map(|index| event(sent, *index)).collect();
    for piece_bytes in [7, 1000] {
        let mut checker = StreamChecker::new(PromptDigest::of("mine"), 3);
        let text = format!("{events}data: [DONE]\n\n");
        for piece in text.as_bytes().chunks(piece_bytes) {
            checker.feed(piece);
        }
        assert!(checker.done);
        assert_eq!(checker.is_whole(), whole);
    }
}
