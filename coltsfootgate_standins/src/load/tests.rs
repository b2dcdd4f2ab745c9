//! The checker accepts complete streamed answers and detects truncated, corrupted and foreign ones.

use rstest::rstest;

use super::stream::StreamChecker;
use crate::answer_text::PromptDigest;

fn token_event(digest: PromptDigest, index: u32) -> String {
    let token = digest.token(index);
    format!("data: {{\"choices\":[{{\"delta\":{{\"content\":\"{token}\"}}}}]}}\n\n")
}

#[rstest]
#[case::complete("mine", &[0, 1, 2], true)]
#[case::truncated("mine", &[0, 1], false)]
#[case::missing_token("mine", &[0, 2], false)]
#[case::repeated_token("mine", &[0, 1, 1, 2], false)]
#[case::of_another_request("other", &[0, 1, 2], false)]
fn only_the_complete_answer_to_its_own_prompt_is_accepted(
    #[case] prompt: &str,
    #[case] indices: &[u32],
    #[case] is_complete: bool,
) {
    let sent = PromptDigest::of(prompt);
    let events: String = indices.iter().map(|index| token_event(sent, *index)).collect();
    for chunk_bytes in [7, 1000] {
        let mut checker = StreamChecker::new(PromptDigest::of("mine"), 3);
        let text = format!("{events}data: [DONE]\n\n");
        for chunk in text.as_bytes().chunks(chunk_bytes) {
            checker.feed(chunk);
        }
        assert!(checker.is_done);
        assert_eq!(checker.is_complete(), is_complete);
    }
}
