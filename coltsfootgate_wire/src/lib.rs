//! The protocol between instances: authentication, messages and their encoding.

mod claim;
mod endpoint_limit;
mod error;
mod forward;
mod frame;
mod grant;
mod limit;
mod member;
mod message;
mod names;
mod proof;
mod quarantine;
mod replica;
mod stream;
mod stream_page;
mod tree;
mod usage;
mod wire;

pub use self::claim::{decode_claim_page, encode_claim_page};
pub use self::error::WireError;
pub use self::forward::{
    ForwardMessage, ForwardRefusal, ForwardReply, ForwardRequest, HeaderRows, decode_forward_reply,
    decode_forward_request, encode_forward_reply, encode_forward_request,
};
pub use self::frame::{
    MESSAGE_BYTES_MAX, decode_reply, decode_request, encode_reply, encode_request,
};
pub use self::grant::{EXCLUDED_MAX, PARTS_MAX};
pub use self::message::{PeerReply, PeerRequest, PoolPressure};
pub use self::proof::{
    CHALLENGE_BYTES, ChallengeFrame, HELLO_BYTES, HelloFrame, PROOF_BYTES, PROTOCOL_VERSION,
    ProofError, ProofTranscript,
};
pub use self::stream_page::{decode_stream_page, encode_stream_page};
