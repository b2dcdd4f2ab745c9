//! Group membership: failure detection by heartbeats, and dissemination of state by gossip.
//!
//! The live instances decide which instance owns what, so a slow link or a pause of this process
//! must not make the others look dead.

mod entry;
mod rumor;
mod table;

use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::freshness::SettingsStatement;
use crate::ids::{ConfigVersion, Incarnation, InstanceId, ZoneName};

pub use self::entry::PeerEntry;
pub use self::table::PeerTable;

/// Name of a region, a group of availability zones.
pub type RegionName = Arc<str>;

/// Interval between heartbeats to a neighbour.
pub const HEARTBEAT_PERIOD: Duration = Duration::from_millis(500);
/// Time after a heartbeat from a peer during which this instance sends that peer none of its own.
pub const HEARTBEAT_MIN_INTERVAL: Duration = Duration::from_millis(300);
/// Silence after which a neighbour becomes suspect.
pub const SUSPECT_AFTER: Duration = Duration::from_millis(1500);
/// Time after which a suspect counts as dead unless some instance hears from it.
pub const DEAD_AFTER: Duration = Duration::from_millis(1500);
/// Time within which a listed instance must send its first heartbeat, or it counts as dead.
pub const FIRST_HEARTBEAT_TIMEOUT: Duration = Duration::from_secs(5);
/// Time after which a dead or leaving instance that is no longer listed is removed.
pub const FORGET_AFTER: Duration = Duration::from_secs(60);
/// Shortest gap between two ticks after which this process counts as paused; the silence of its
/// peers is then ignored.
pub const PAUSE_GAP: Duration = Duration::from_millis(1200);
/// Largest number of other instances at which all instances are neighbours of each other.
pub const FULL_MESH_PEERS: usize = 16;
/// Number of neighbours of an instance in a larger fleet, half on each side of a hash ring.
pub const NEIGHBOUR_COUNT: usize = 8;
/// Number of instances that are asked whether they hear from a suspect.
pub const CONFIRMING_PEERS: usize = 3;
/// Number of reports of silence that declare a suspect dead before [`DEAD_AFTER`] has passed.
pub const SILENT_CONFIRMATIONS: usize = 2;
/// Maximum number of rumors about recent changes in a heartbeat.
pub const UPDATES_PER_HEARTBEAT: usize = 12;
/// Number of rumors in a heartbeat that go through all peers in turn, changed or not.
pub const REFRESH_PER_HEARTBEAT: usize = 2;

/// The identity and location that an instance states in its heartbeats.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct PeerProfile {
    /// The address on which it listens for peers.
    pub id: InstanceId,
    /// Distinguishes the processes at that address; a later process has a higher number.
    pub incarnation: Incarnation,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Its region.
    pub region: RegionName,
    /// The processor time that it may use, in thousandths of a core; 0 if it is not known.
    pub processor_milli: u32,
}

/// State of an instance in the peer table.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Deserialize, Serialize)]
pub enum PeerState {
    /// The platform lists it, but no heartbeat has arrived yet.
    Listed,
    /// It sends heartbeats.
    Alive,
    /// It is silent, but keeps what it owns until its failure is confirmed.
    Suspect,
    /// It is treated as failed until it is heard again.
    Dead,
    /// It announced that it is leaving, which holds for the rest of its incarnation.
    Leaving,
}

impl PeerState {
    /// Whether an instance in this state may own anything.
    pub fn is_live(self) -> bool {
        matches!(self, Self::Alive | Self::Suspect)
    }

    /// The name used in logs and status.
    pub fn name(self) -> &'static str {
        match self {
            Self::Listed => "listed",
            Self::Alive => "alive",
            Self::Suspect => "suspect",
            Self::Dead => "dead",
            Self::Leaving => "leaving",
        }
    }
}

/// An assertion about the state of an instance, which that instance may refute.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct PeerRumor {
    /// The instance that it is about.
    pub profile: PeerProfile,
    /// The asserted state.
    pub state: PeerState,
    /// How often the instance had refuted a suspicion. Within one incarnation, an assertion
    /// with a higher number overrides one with a lower number.
    pub refutation: u32,
}

/// The periodic message between instances, which also carries gossip.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct PeerHeartbeat {
    /// The sender's own profile and state.
    pub sender: PeerRumor,
    /// What the sender states about the settings that it has in force.
    pub settings: SettingsStatement,
    /// Rumors about other instances that the sender passes on.
    pub rumors: Vec<PeerRumor>,
}

/// Input of a peer table.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum PeerEvent {
    /// The platform's list of instances, this one included or not.
    Listed(Vec<(InstanceId, ZoneName)>),
    /// A heartbeat arrived, as a request or as the answer to one.
    Heartbeat(PeerHeartbeat),
    /// An instance answered whether it hears from a suspect.
    ReachabilityReport {
        /// The suspect.
        about: InstanceId,
        /// The instance that answered.
        by: InstanceId,
        /// Whether that instance hears from the suspect.
        heard: bool,
    },
    /// This instance starts to shut down.
    Leave,
    /// Time passed; expected once every [`HEARTBEAT_PERIOD`].
    Tick,
}

/// Output of a peer table, for the caller to carry out.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum PeerAction {
    /// Send a heartbeat to an instance, which answers with its own. The caller states the settings in it.
    Send(InstanceId, PeerHeartbeat),
    /// Ask an instance whether it hears from a suspect.
    AskAbout {
        /// The suspect.
        about: InstanceId,
        /// The instance to ask.
        through: InstanceId,
    },
    /// The state of an instance changed, and with it perhaps the set of owners.
    Changed(InstanceId, PeerState),
    /// A new process runs at this address; the state of the earlier one is lost.
    Restarted(PeerProfile),
    /// A peer stated a version of the settings tree above any that it stated before.
    VersionAdvanced(InstanceId, ConfigVersion),
}
