//! The proof of the shared secret holds only for the same secret and the same frames.

use coltsfootgate_wire::{
    CHALLENGE_BYTES, ChallengeFrame, HELLO_BYTES, HelloFrame, PROTOCOL_VERSION, ProofError,
    ProofTranscript,
};
use proptest::prelude::*;
use rstest::rstest;

const SECRET: &[u8] = b"a secret of sixteen bytes or more";

fn transcript() -> ProofTranscript {
    let hello = HelloFrame {
        nonce: [1; 32],
        from: "127.0.0.1:9101".parse().unwrap(),
        to: "[fd00::1]:9102".parse().unwrap(),
    };
    ProofTranscript { hello, challenge: ChallengeFrame { nonce: [2; 32] } }
}

#[test]
fn frames_survive_their_coding() {
    let ProofTranscript { hello, challenge } = transcript();
    assert_eq!(HelloFrame::decode(&hello.encode()), Ok(hello));
    assert_eq!(ChallengeFrame::decode(&challenge.encode()), Ok(challenge));
}

#[test]
fn both_sides_prove_the_secret() {
    let transcript = transcript();
    assert_eq!(transcript.check_client(SECRET, &transcript.client_proof(SECRET)), Ok(()));
    assert_eq!(transcript.check_server(SECRET, &transcript.server_proof(SECRET)), Ok(()));
}

#[rstest]
#[case::another_secret(|_: &mut ProofTranscript| (), b"another secret of enough bytes")]
#[case::another_hello_nonce(|seen: &mut ProofTranscript| seen.hello.nonce[0] = 9, SECRET)]
#[case::another_challenge(|seen: &mut ProofTranscript| seen.challenge.nonce[31] = 9, SECRET)]
#[case::another_sender(|seen: &mut ProofTranscript| seen.hello.from.set_port(1), SECRET)]
#[case::another_receiver(|seen: &mut ProofTranscript| seen.hello.to.set_port(1), SECRET)]
fn a_proof_does_not_hold_with(#[case] change: fn(&mut ProofTranscript), #[case] secret: &[u8]) {
    let mut seen = transcript();
    change(&mut seen);
    let proof = transcript().client_proof(secret);
    assert_eq!(seen.check_client(SECRET, &proof), Err(ProofError::WrongProof));
    let proof = transcript().server_proof(secret);
    assert_eq!(seen.check_server(SECRET, &proof), Err(ProofError::WrongProof));
}

#[test]
fn a_proof_cannot_be_sent_back() {
    let transcript = transcript();
    let reflected = transcript.client_proof(SECRET);
    assert_eq!(transcript.check_server(SECRET, &reflected), Err(ProofError::WrongProof));
}

#[rstest]
#[case::magic(0, ProofError::WrongMagic)]
#[case::version(9, ProofError::UnknownVersion(PROTOCOL_VERSION ^ 255))]
fn another_protocol_is_refused(#[case] place: usize, #[case] error: ProofError) {
    let mut hello = transcript().hello.encode();
    hello[place] ^= 255;
    assert_eq!(HelloFrame::decode(&hello), Err(error));
    let mut challenge = transcript().challenge.encode();
    challenge[place] ^= 255;
    assert_eq!(ChallengeFrame::decode(&challenge), Err(error));
}

proptest! {
    #[test]
    fn no_bytes_break_the_frames(
        hello in any::<[u8; 32]>(),
        fill in any::<u8>(),
    ) {
        let mut bytes = [fill; HELLO_BYTES];
        bytes[..32].copy_from_slice(&hello);
        let _ = HelloFrame::decode(&bytes);
        let mut bytes = [fill; CHALLENGE_BYTES];
        bytes[..32].copy_from_slice(&hello);
        let _ = ChallengeFrame::decode(&bytes);
    }
}
