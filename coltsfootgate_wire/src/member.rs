//! Wire types of heartbeats.

use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use coltsfootgate_core::freshness::SettingsStatement;
use coltsfootgate_core::membership::{PeerHeartbeat, PeerProfile, PeerRumor, PeerState};

use crate::error::WireError;
use crate::names::{check_instance, check_name};

/// Maximum number of rumors in one heartbeat.
const RUMORS_MAX: usize = 256;

#[derive(Deserialize, Serialize)]
pub(crate) struct WireRumor {
    id: Arc<str>,
    incarnation: u64,
    zone: Arc<str>,
    region: Arc<str>,
    processor_milli: u32,
    state: WireState,
    refutation: u32,
}

#[derive(Clone, Copy, Deserialize, Serialize)]
enum WireState {
    Listed,
    Alive,
    Suspect,
    Dead,
    Leaving,
}

#[derive(Deserialize, Serialize)]
pub(crate) struct WireHeartbeat {
    sender: WireRumor,
    config_version: u64,
    config_age_ms: Option<u64>,
    rumors: Vec<WireRumor>,
}

impl From<PeerState> for WireState {
    fn from(state: PeerState) -> Self {
        match state {
            PeerState::Listed => Self::Listed,
            PeerState::Alive => Self::Alive,
            PeerState::Suspect => Self::Suspect,
            PeerState::Dead => Self::Dead,
            PeerState::Leaving => Self::Leaving,
        }
    }
}

impl From<WireState> for PeerState {
    fn from(state: WireState) -> Self {
        match state {
            WireState::Listed => Self::Listed,
            WireState::Alive => Self::Alive,
            WireState::Suspect => Self::Suspect,
            WireState::Dead => Self::Dead,
            WireState::Leaving => Self::Leaving,
        }
    }
}

impl From<PeerRumor> for WireRumor {
    fn from(rumor: PeerRumor) -> Self {
        let PeerProfile { id, incarnation, zone, region, processor_milli } = rumor.profile;
        let (state, refutation) = (rumor.state.into(), rumor.refutation);
        Self { id, incarnation, zone, region, processor_milli, state, refutation }
    }
}

impl TryFrom<WireRumor> for PeerRumor {
    type Error = WireError;

    fn try_from(rumor: WireRumor) -> Result<Self, WireError> {
        let profile = PeerProfile {
            id: check_instance(rumor.id)?,
            incarnation: rumor.incarnation,
            zone: check_name(rumor.zone, "zone")?,
            region: check_name(rumor.region, "region")?,
            processor_milli: rumor.processor_milli,
        };
        Ok(Self { profile, state: rumor.state.into(), refutation: rumor.refutation })
    }
}

impl From<PeerHeartbeat> for WireHeartbeat {
    fn from(heartbeat: PeerHeartbeat) -> Self {
        Self {
            sender: heartbeat.sender.into(),
            config_version: heartbeat.settings.version,
            // Rounded up, so that the confirmation of the version never appears newer than it is.
            config_age_ms: heartbeat.settings.age.map(|age| age.as_micros().div_ceil(1000) as u64),
            rumors: heartbeat.rumors.into_iter().map(WireRumor::from).collect(),
        }
    }
}

impl TryFrom<WireHeartbeat> for PeerHeartbeat {
    type Error = WireError;

    fn try_from(heartbeat: WireHeartbeat) -> Result<Self, WireError> {
        if heartbeat.rumors.len() > RUMORS_MAX {
            return Err(WireError::WrongValue("rumors"));
        }
        let rumors = heartbeat.rumors.into_iter().map(PeerRumor::try_from);
        Ok(Self {
            sender: heartbeat.sender.try_into()?,
            settings: SettingsStatement {
                version: heartbeat.config_version,
                age: heartbeat.config_age_ms.map(Duration::from_millis),
            },
            rumors: rumors.collect::<Result<_, _>>()?,
        })
    }
}
