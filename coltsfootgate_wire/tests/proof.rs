//! Handshake proofs verify only with the same secret, the same frames and the right side.

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
fn frames_round_trip() {
    let ProofTranscript { hello, challenge } = transcript();
    assert_eq!(HelloFrame::decode(&hello.encode()), Ok(hello));
    assert_eq!(ChallengeFrame::decode(&challenge.encode()), Ok(challenge));
}

#[test]
fn proofs_of_both_sides_verify() {
    let transcript = transcript();
    assert_eq!(transcript.verify_client(SECRET, &transcript.client_proof(SECRET)), Ok(()));
    assert_eq!(transcript.verify_server(SECRET, &transcript.server_proof(SECRET)), Ok(()));
}

#[rstest]
#[case::another_secret(|_: &mut ProofTranscript| (), b"another secret of enough bytes")]
#[case::another_hello_nonce(|altered: &mut ProofTranscript| altered.hello.nonce[0] = 9, SECRET)]
#[case::another_challenge(|altered: &mut ProofTranscript| altered.challenge.nonce[31] = 9, SECRET)]
#[case::another_sender(|altered: &mut ProofTranscript| altered.hello.from.set_port(1), SECRET)]
#[case::another_receiver(|altered: &mut ProofTranscript| altered.hello.to.set_port(1), SECRET)]
fn a_proof_does_not_verify_with(#[case] change: fn(&mut ProofTranscript), #[case] secret: &[u8]) {
    let mut altered = transcript();
    change(&mut altered);
    let proof = transcript().client_proof(secret);
    assert_eq!(altered.verify_client(SECRET, &proof), Err(ProofError::WrongProof));
    let proof = transcript().server_proof(secret);
    assert_eq!(altered.verify_server(SECRET, &proof), Err(ProofError::WrongProof));
}

#[test]
fn a_reflected_proof_is_rejected() {
    let transcript = transcript();
    let reflected = transcript.client_proof(SECRET);
    assert_eq!(transcript.verify_server(SECRET, &reflected), Err(ProofError::WrongProof));
}

#[rstest]
#[case::magic(0, ProofError::WrongMagic)]
#[case::version(9, ProofError::UnknownVersion(PROTOCOL_VERSION ^ 255))]
fn frames_of_another_protocol_or_version_are_rejected(
    #[case] index: usize,
    #[case] error: ProofError,
) {
    let mut hello = transcript().hello.encode();
    hello[index] ^= 255;
    assert_eq!(HelloFrame::decode(&hello), Err(error));
    let mut challenge = transcript().challenge.encode();
    challenge[index] ^= 255;
    assert_eq!(ChallengeFrame::decode(&challenge), Err(error));
}

proptest! {
    #[test]
    fn arbitrary_frames_do_not_panic(
        start in any::<[u8; 32]>(),
        fill in any::<u8>(),
    ) {
        let mut bytes = [fill; HELLO_BYTES];
        bytes[..32].copy_from_slice(&start);
        let _ = HelloFrame::decode(&bytes);
        let mut bytes = [fill; CHALLENGE_BYTES];
        bytes[..32].copy_from_slice(&start);
        let _ = ChallengeFrame::decode(&bytes);
    }
}
