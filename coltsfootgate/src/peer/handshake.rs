//! Mutual authentication with the shared secret at the start of a connection.

use monoio::io::{AsyncReadRent, AsyncReadRentExt, AsyncWriteRent, AsyncWriteRentExt};
use rand::RngCore;

use std::net::SocketAddr;

use coltsfootgate_core::ids::InstanceId;
use coltsfootgate_wire::{
    CHALLENGE_BYTES, ChallengeFrame, HELLO_BYTES, HelloFrame, PROOF_BYTES, ProofError,
    ProofTranscript,
};

use super::{PeerError, PeerIdentity};

/// Authenticates this instance to the one it connected to, and then verifies that instance.
pub(super) async fn authenticate_as_client<S>(
    stream: &mut S,
    identity: &PeerIdentity,
    to: SocketAddr,
) -> Result<(), PeerError>
where
    S: AsyncReadRent + AsyncWriteRent,
{
    let secret = identity.secret.as_bytes();
    let hello = HelloFrame { nonce: random_nonce(), from: identity.address, to };
    write_frame(stream, &hello.encode()).await?;
    let challenge = ChallengeFrame::decode(&read_frame::<_, CHALLENGE_BYTES>(stream).await?)?;
    let transcript = ProofTranscript { hello, challenge };
    write_frame(stream, &transcript.client_proof(secret)).await?;
    let proof = read_frame::<_, PROOF_BYTES>(stream).await?;
    transcript.verify_server(secret, &proof)?;
    Ok(())
}

/// Verifies the instance that connected, then authenticates this one; returns the peer's id.
pub(super) async fn authenticate_as_server<S>(
    stream: &mut S,
    identity: &PeerIdentity,
) -> Result<InstanceId, PeerError>
where
    S: AsyncReadRent + AsyncWriteRent,
{
    let secret = identity.secret.as_bytes();
    let hello = HelloFrame::decode(&read_frame::<_, HELLO_BYTES>(stream).await?)?;
    if hello.to != identity.address {
        return Err(ProofError::WrongAddress.into());
    }
    let challenge = ChallengeFrame { nonce: random_nonce() };
    write_frame(stream, &challenge.encode()).await?;
    let transcript = ProofTranscript { hello, challenge };
    let proof = read_frame::<_, PROOF_BYTES>(stream).await?;
    transcript.verify_client(secret, &proof)?;
    write_frame(stream, &transcript.server_proof(secret)).await?;
    Ok(hello.from.to_string().into())
}

async fn write_frame<S: AsyncWriteRent>(stream: &mut S, frame: &[u8]) -> Result<(), PeerError> {
    let (result, _) = stream.write_all(frame.to_vec()).await;
    result?;
    Ok(())
}

async fn read_frame<S, const N: usize>(stream: &mut S) -> Result<[u8; N], PeerError>
where
    S: AsyncReadRent,
{
    let (result, frame) = stream.read_exact(vec![0; N]).await;
    result?;
    frame.try_into().map_err(|_| PeerError::Broken("incomplete frame".to_owned()))
}

fn random_nonce() -> [u8; 32] {
    let mut nonce = [0; 32];
    rand::rng().fill_bytes(&mut nonce);
    nonce
}
