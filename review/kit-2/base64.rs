//! Standard base64 with padding.

const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

/// Encodes bytes.
pub fn encode(bytes: &[u8]) -> String {
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let mut word = [0; 3];
        word[..group.len()].copy_from_slice(group);
        let word = u32::from_be_bytes([0, word[0], word[1], word[2]]);
        for place in 0..4 {
            let digit = DIGITS[(word >> (18 - 6 * place) & 63) as usize];
            text.push(if place <= group.len() { char::from(digit) } else { '=' });
        }
    }
    text
}

/// Decodes a text; other characters than digits are skipped.
pub fn decode(text: &str) -> Vec<u8> {
    let digits = text.bytes().filter_map(|byte| DIGITS.iter().position(|digit| *digit == byte));
    let digits: Vec<u32> = digits.map(|digit| digit as u32).collect();
    let mut bytes = Vec::new();
    for group in digits.chunks(4) {
        let word = group
            .iter()
            .enumerate()
            .fold(0, |word, (place, digit)| word | digit << (18 - 6 * place));
        bytes.extend_from_slice(&word.to_be_bytes()[1..group.len()]);
    }
    bytes
}
