//! The operators' port: health, metrics, status and decision records.

mod bounded;
mod records;
mod server;
mod status;
#[cfg(test)]
mod tests;

pub use self::records::RequestRecords;
pub use self::server::{OperatorsContext, OperatorsServer};
pub use self::status::{ReadinessGate, StatusRegistry, UnreadyCause};
