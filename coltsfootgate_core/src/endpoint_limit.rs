//! Limits that endpoints set on the rate of requests from all callers together.

/// What the head of an endpoint's answer states about the rate at which it accepts requests.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum LimitNotice {
    /// It accepts requests without a limit on their rate.
    #[default]
    Unlimited,
    /// It accepts this many requests a second from all callers together.
    Limited(f64),
    /// It states a limit that is not a number of requests a second.
    Malformed,
}

impl LimitNotice {
    /// Parses the text of a header; `None` if the answer has none.
    pub fn parse(text: Option<&[u8]>) -> Self {
        let Some(text) = text else { return Self::Unlimited };
        let rate = std::str::from_utf8(text).ok().and_then(|text| text.trim().parse::<f64>().ok());
        match rate.filter(|rate| rate.is_finite() && *rate >= 0.0) {
            Some(rate) => Self::Limited(rate),
            None => Self::Malformed,
        }
    }

    /// The limit in requests a second, if it states one.
    pub fn rate(self) -> Option<f64> {
        match self {
            Self::Limited(rate) => Some(rate),
            Self::Unlimited | Self::Malformed => None,
        }
    }

    /// The name used in metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Unlimited => "unlimited",
            Self::Limited(_) => "limited",
            Self::Malformed => "malformed",
        }
    }
}
