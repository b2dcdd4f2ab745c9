//! The load of each sample deployment, as shares of its engines' capacity.

use std::collections::BTreeMap;
use std::sync::Arc;

use coltsfootgate_config::ConfigTree;
use coltsfootgate_core::settings::ClassSettings;

use crate::answer_text::PromptDigest;
use crate::load::{LoadClass, LoadTarget};

/// Number of answers drawn to estimate the mean answer length of a class.
const LENGTH_SAMPLES: u32 = 4000;

/// One of the two sample deployments.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LoadProfile {
    /// Bookings for tennis clubs.
    Terenuri,
    /// A registry of model railway parts.
    Samahang,
}

/// The load of one class of model requests.
struct ModelWorkload {
    class: &'static str,
    /// Value of the `x-kind` header, by which the tree assigns the class; empty for no header.
    kind: &'static str,
    /// Demand for tokens as a share of capacity, outside the burst and in it.
    shares: (f64, f64),
    max_tokens: u32,
    prompt_words: usize,
    customers: &'static [&'static str],
}

/// The load of one class of service requests.
struct ServiceWorkload {
    class: &'static str,
    method: &'static str,
    path: &'static str,
    /// Requests per second, outside the burst and in it.
    rates: (f64, f64),
    /// Whether requests carry an idempotency key.
    keyed: bool,
    customers: &'static [&'static str],
}

const TERENURI_CLUBS: &[&str] = &["cluj-north", "cluj-south", "floresti", "turda", "dej", "gherla"];
const TERENURI_MODELS: &[ModelWorkload] = &[
    ModelWorkload {
        class: "classes.confirmation-message",
        kind: "player-confirmation",
        shares: (0.08, 0.15),
        max_tokens: 96,
        prompt_words: 40,
        customers: &["player-app"],
    },
    ModelWorkload {
        class: "classes.evening-request",
        kind: "parent-request",
        shares: (0.20, 0.65),
        max_tokens: 320,
        prompt_words: 60,
        customers: &["parent-app", "player-app"],
    },
    ModelWorkload {
        class: "classes.coach-question",
        kind: "coach-question",
        shares: (0.15, 0.45),
        max_tokens: 480,
        prompt_words: 60,
        customers: TERENURI_CLUBS,
    },
    ModelWorkload {
        class: "classes",
        kind: "",
        shares: (0.10, 0.30),
        max_tokens: 480,
        prompt_words: 60,
        customers: TERENURI_CLUBS,
    },
    ModelWorkload {
        class: "classes.manager",
        kind: "manager-report",
        shares: (0.07, 0.25),
        max_tokens: 1024,
        prompt_words: 160,
        customers: &["manager-office"],
    },
    ModelWorkload {
        class: "classes.manager.monthly-summary",
        kind: "monthly-summary",
        shares: (0.10, 0.20),
        max_tokens: 3072,
        prompt_words: 240,
        customers: &["manager-office"],
    },
];
const TERENURI_SERVICES: &[ServiceWorkload] = &[
    ServiceWorkload {
        class: "classes.reservations.confirmation",
        method: "POST",
        path: "/reservations/{n}/confirmation",
        rates: (8.0, 20.0),
        keyed: true,
        customers: &["player-app"],
    },
    ServiceWorkload {
        class: "classes.reservations.booking",
        method: "POST",
        path: "/reservations/court/{n}",
        rates: (10.0, 25.0),
        keyed: true,
        customers: &["player-app", "parent-app"],
    },
    ServiceWorkload {
        class: "classes.reservations.cancellation",
        method: "DELETE",
        path: "/reservations/{n}",
        rates: (2.0, 4.0),
        keyed: false,
        customers: &["player-app", "parent-app"],
    },
    ServiceWorkload {
        class: "classes.reservations",
        method: "GET",
        path: "/reservations/courts/{n}",
        rates: (10.0, 20.0),
        keyed: false,
        customers: &["player-app", "parent-app"],
    },
];

const SAMAHANG_CLUBS: &[&str] =
    &["cebu-central", "iloilo-river", "mandaue", "bacolod", "tacloban-bay"];
const SAMAHANG_MODELS: &[ModelWorkload] = &[
    ModelWorkload {
        class: "classes.parts-question",
        kind: "parts-question",
        shares: (0.25, 0.75),
        max_tokens: 320,
        prompt_words: 60,
        customers: &["member-app", "parts-counter"],
    },
    ModelWorkload {
        class: "classes.restoration-note",
        kind: "restoration-note",
        shares: (0.20, 0.50),
        max_tokens: 640,
        prompt_words: 80,
        customers: SAMAHANG_CLUBS,
    },
    ModelWorkload {
        class: "classes",
        kind: "",
        shares: (0.10, 0.30),
        max_tokens: 480,
        prompt_words: 60,
        customers: SAMAHANG_CLUBS,
    },
    ModelWorkload {
        class: "classes.catalogue",
        kind: "catalogue-summary",
        shares: (0.05, 0.25),
        max_tokens: 1024,
        prompt_words: 160,
        customers: &["catalogue-desk"],
    },
    ModelWorkload {
        class: "classes.catalogue.digest",
        kind: "catalogue-digest",
        shares: (0.10, 0.20),
        max_tokens: 3072,
        prompt_words: 240,
        customers: &["catalogue-desk"],
    },
];
const SAMAHANG_SERVICES: &[ServiceWorkload] = &[
    ServiceWorkload {
        class: "classes.registry.stock",
        method: "GET",
        path: "/registry/stock/{n}",
        rates: (20.0, 50.0),
        keyed: false,
        customers: &["member-app", "parts-counter"],
    },
    ServiceWorkload {
        class: "classes.registry.order-confirmation",
        method: "POST",
        path: "/registry/orders/{n}",
        rates: (8.0, 20.0),
        keyed: true,
        customers: &["member-app", "parts-counter"],
    },
    ServiceWorkload {
        class: "classes.registry",
        method: "GET",
        path: "/registry/entries/{n}",
        rates: (5.0, 10.0),
        keyed: false,
        customers: &["member-app", "parts-counter"],
    },
];

impl LoadProfile {
    /// Parses the name of a profile as given on the command line.
    pub fn from_name(name: &str) -> Option<Self> {
        match name {
            "terenuri" => Some(Self::Terenuri),
            "samahang" => Some(Self::Samahang),
            _ => None,
        }
    }

    /// The name, which is also that of the sample tree.
    pub fn name(self) -> &'static str {
        match self {
            Self::Terenuri => "terenuri",
            Self::Samahang => "samahang",
        }
    }

    /// The load of each class for engines with a capacity in tokens per second.
    pub fn classes(self, tree: &ConfigTree, capacity: f64, engine_seed: u64) -> Vec<LoadClass> {
        let (models, services) = match self {
            Self::Terenuri => (TERENURI_MODELS, TERENURI_SERVICES),
            Self::Samahang => (SAMAHANG_MODELS, SAMAHANG_SERVICES),
        };
        let model = tree.models().first().map(|model| model.to_string()).unwrap_or_default();
        let models = models.iter().map(|load| load.class(tree, &model, capacity, engine_seed));
        models.chain(services.iter().map(|load| load.class(tree))).collect()
    }

    /// Demand for tokens of each model class in the burst, as a share of capacity.
    pub fn burst_shares(self) -> impl Iterator<Item = (&'static str, f64)> {
        let models = match self {
            Self::Terenuri => TERENURI_MODELS,
            Self::Samahang => SAMAHANG_MODELS,
        };
        models.iter().map(|load| (load.class, load.shares.1))
    }
}

impl ModelWorkload {
    fn class(&self, tree: &ConfigTree, model: &str, capacity: f64, seed: u64) -> LoadClass {
        let lengths = (0..LENGTH_SAMPLES).map(|sample| {
            let digest = PromptDigest::of(&format!("{} {sample}", self.class));
            f64::from(digest.answer_length(seed, self.max_tokens))
        });
        let mean_length = lengths.sum::<f64>() / f64::from(LENGTH_SAMPLES);
        let kind = Some(self.kind).filter(|kind| !kind.is_empty());
        let headers = kind.map(|kind| ("x-kind".to_owned(), kind.to_owned()));
        LoadClass {
            rate: self.shares.0 * capacity / mean_length,
            burst_rate: self.shares.1 * capacity / mean_length,
            headers: headers.into_iter().collect(),
            target: LoadTarget::Model {
                model: model.to_owned(),
                stream: true,
                max_tokens: self.max_tokens,
                prompt_words: self.prompt_words,
                prefixes: 8,
            },
            ..base_class(tree, self.class, self.customers)
        }
    }
}

impl ServiceWorkload {
    fn class(&self, tree: &ConfigTree) -> LoadClass {
        LoadClass {
            rate: self.rates.0,
            burst_rate: self.rates.1,
            target: LoadTarget::Service {
                method: self.method.to_owned(),
                path: self.path.to_owned(),
                keyed: self.keyed,
                repeats: 0.1,
            },
            ..base_class(tree, self.class, self.customers)
        }
    }
}

/// A class with the tier and latency targets from the tree, and a rate of zero.
///
/// # Panics
///
/// If the tree has no such class.
fn base_class(tree: &ConfigTree, id: &str, customers: &[&str]) -> LoadClass {
    let settings: Arc<ClassSettings> =
        tree.class(id).unwrap_or_else(|| panic!("the sample tree has no class {id}"));
    let milliseconds = |duration: std::time::Duration| duration.as_secs_f64() * 1e3;
    LoadClass {
        name: id.to_owned(),
        tier: settings.tier.number(),
        rate: 0.0,
        burst_rate: 0.0,
        target: LoadTarget::Service {
            method: String::new(),
            path: String::new(),
            keyed: false,
            repeats: 0.0,
        },
        headers: BTreeMap::new(),
        keys: customers.iter().map(|name| format!("sample-key-{name}")).collect(),
        first_token_ms: milliseconds(settings.first_token),
        between_tokens_ms: milliseconds(settings.between_tokens),
        whole_answer_ms: milliseconds(settings.whole_answer),
    }
}
