//! Which instances answer, as far as this one can tell.

mod entry;
mod rumor;
mod table;

use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::ids::{ConfigVersion, Incarnation, InstanceId, ZoneName};

pub use self::entry::PeerEntry;
pub use self::table::PeerTable;

/// Name of a region, a group of availability zones.
pub type RegionName = Arc<str>;

/// How often a heartbeat goes to each neighbour.
pub const HEARTBEAT_PERIOD: Duration = Duration::from_millis(500);
/// Time after a heartbeat in which no other is sent to the same peer.
pub const HEARTBEAT_REST: Duration = Duration::from_millis(300);
/// Silence after which a neighbour is suspected.
pub const SUSPECT_AFTER: Duration = Duration::from_millis(1500);
/// Time under suspicion after which a neighbour counts as dead, if nobody heard from it.
pub const DEAD_AFTER: Duration = Duration::from_millis(1500);
/// Time that a listed instance has for its first heartbeat.
pub const FIRST_HEARTBEAT: Duration = Duration::from_secs(5);
/// Time after which a dead instance that is no longer listed is forgotten.
pub const FORGET_AFTER: Duration = Duration::from_secs(60);
/// A gap between two ticks that means this process was paused, not its peers silent.
pub const PAUSE_GAP: Duration = Duration::from_millis(1200);
/// Up to this many other instances, each is everyone's neighbour.
pub const FULL_MESH_PEERS: usize = 16;
/// How many neighbours an instance has in a larger fleet, half on each side of a ring.
pub const NEIGHBOUR_COUNT: usize = 8;
/// How many instances are asked about a silent one.
pub const CONFIRMING_PEERS: usize = 3;
/// How many of them must find it silent before it counts as dead early.
pub const SILENT_CONFIRMATIONS: usize = 2;
/// How many rumors of news a heartbeat carries.
pub const NEWS_PER_HEARTBEAT: usize = 12;
/// How many rumors a heartbeat carries in turn, whether or not they are news.
pub const REFRESH_PER_HEARTBEAT: usize = 2;

/// What an instance says of itself.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct PeerProfile {
    /// Where it listens for peers.
    pub id: InstanceId,
    /// Which life at that address this is.
    pub incarnation: Incarnation,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Its region.
    pub region: RegionName,
}

/// What is known of an instance.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Deserialize, Serialize)]
pub enum PeerState {
    /// The platform lists it and it has not answered yet.
    Listed,
    /// It answers.
    Alive,
    /// It has gone silent; it keeps what it owns until that is confirmed.
    Suspect,
    /// It is taken for gone until it answers again.
    Dead,
    /// It said that it is leaving; this holds for the rest of its incarnation.
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

/// A statement about an instance, which the instance itself may refute.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct PeerRumor {
    /// Whom it is about.
    pub profile: PeerProfile,
    /// What is said.
    pub state: PeerState,
    /// How often the instance had refuted its suspicion; a higher number overrules a lower one.
    pub refutation: u32,
}

/// What instances tell each other all the time.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct PeerHeartbeat {
    /// The sender's statement about itself.
    pub sender: PeerRumor,
    /// The version of the tree that the sender has in force.
    pub config_version: ConfigVersion,
    /// How long ago that version was proved to be the newest, if the sender knows.
    pub config_age: Option<Duration>,
    /// What the sender passes on.
    pub rumors: Vec<PeerRumor>,
}

/// What a peer table learns.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum PeerEvent {
    /// The platform's list of instances, this one included or not.
    Listed(Vec<(InstanceId, ZoneName)>),
    /// A heartbeat came, as a request or as the answer to one.
    Heartbeat(PeerHeartbeat),
    /// An instance answered whether it hears from the one asked about.
    Vouched {
        /// Whom it was about.
        about: InstanceId,
        /// Who answered.
        by: InstanceId,
        /// Whether that instance hears from it.
        heard: bool,
    },
    /// This instance begins to leave.
    Leave,
    /// This instance has a new version of the tree in force.
    ConfigChanged(ConfigVersion),
    /// Time passed; wanted every heartbeat period.
    Tick,
}

/// What a peer table wants done.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum PeerAction {
    /// Send this heartbeat; the answer is a heartbeat as well.
    Send(InstanceId, PeerHeartbeat),
    /// Ask an instance whether it hears from another one.
    AskAbout {
        /// Whom it is about.
        about: InstanceId,
        /// Whom to ask.
        through: InstanceId,
    },
    /// An instance changed its state, so the set of owners may have changed.
    Changed(InstanceId, PeerState),
    /// A new life began at this address; nothing of the earlier one is left there.
    Reborn(PeerProfile),
    /// A peer named a version of the tree above the highest that it named before.
    SawVersion(InstanceId, ConfigVersion),
}
