//! The sample trees are valid and classify the requests of each deployment.

use std::collections::BTreeSet;

use coltsfootgate_config::{ConfigTree, RequestAttributes};
use rstest::rstest;

const SAMAHANG: &str = include_str!("../../samples/samahang.toml");
const TERENURI: &str = include_str!("../../samples/terenuri.toml");

fn sample(name: &str) -> ConfigTree {
    let text = if name == "samahang" { SAMAHANG } else { TERENURI };
    ConfigTree::parse(name, text).unwrap_or_else(|errors| panic!("{errors}"))
}

macro_rules! class_cases {
    ($($case:ident: $sample:literal, $method:literal $path:literal, $model:expr, $kind:expr => $class:literal, $tier:literal, $repeatable:literal;)*) => {
        $(#[test]
        fn $case() {
            let tree = sample($sample);
            let customer = tree.customers().next().unwrap().id.clone();
            let kind: Option<&str> = $kind;
            let headers: Vec<_> = kind.map(|kind| ("x-kind", kind)).into_iter().collect();
            let class = tree.classify(&RequestAttributes {
                host: None,
                customer: &customer,
                method: $method,
                path: $path,
                model: $model,
                headers: &headers,
            });
            assert_eq!(&*class.id, $class);
            assert_eq!(class.tier.number(), $tier);
            assert_eq!(class.repeatable, $repeatable);
        })*
    };
}

class_cases! {
    stock_check: "samahang", "GET" "/registry/stock/77?lot=2", None, None => "classes.registry.stock", 1, true;
    order_confirmation: "samahang", "POST" "/registry/orders/9/confirm", None, None => "classes.registry.order-confirmation", 2, false;
    order_list: "samahang", "GET" "/registry/orders", None, None => "classes.registry", 3, true;
    parts_question: "samahang", "POST" "/v1/chat/completions", Some("riles-assistant"), Some("parts-question") => "classes.parts-question", 3, true;
    restoration_note: "samahang", "POST" "/v1/chat/completions", Some("riles-assistant"), Some("restoration-note") => "classes.restoration-note", 4, true;
    plain_chat: "samahang", "POST" "/v1/chat/completions", Some("riles-assistant"), None => "classes", 5, true;
    catalogue_summary: "samahang", "POST" "/v1/completions", Some("riles-assistant"), Some("catalogue-summary") => "classes.catalogue", 6, true;
    catalogue_digest: "samahang", "POST" "/v1/completions", Some("riles-assistant"), Some("catalogue-digest") => "classes.catalogue.digest", 7, true;
    player_confirmation: "terenuri", "POST" "/reservations/4/confirmation", None, None => "classes.reservations.confirmation", 1, false;
    booking: "terenuri", "POST" "/reservations", None, None => "classes.reservations.booking", 2, false;
    cancellation: "terenuri", "DELETE" "/reservations/4", None, None => "classes.reservations.cancellation", 2, false;
    refund: "terenuri", "POST" "/reservations/4/refund", None, None => "classes.reservations.refund", 3, false;
    court_list: "terenuri", "GET" "/reservations/courts", None, None => "classes.reservations", 3, true;
    evening_request: "terenuri", "POST" "/v1/chat/completions", Some("tenis-assistant"), Some("parent-request") => "classes.evening-request", 3, true;
    monthly_summary: "terenuri", "POST" "/v1/completions", Some("tenis-assistant"), Some("monthly-summary") => "classes.manager.monthly-summary", 7, true;
}

#[rstest]
#[case::samahang("samahang", 12, 3)]
#[case::terenuri("terenuri", 18, 3)]
fn pools_tiers_and_customers_are_complete(
    #[case] name: &str,
    #[case] replicas: usize,
    #[case] services: usize,
) {
    let tree = sample(name);
    let mut sizes: Vec<_> = tree.pools().map(|pool| pool.endpoints.len()).collect();
    sizes.sort();
    assert_eq!(sizes, [services, replicas]);
    let tiers: BTreeSet<_> = tree.classes().map(|class| class.tier.number()).collect();
    assert_eq!(tiers, (1..=7).collect());
    assert_eq!(tree.customers().count(), 10);
}

#[rstest]
#[case::samahang("samahang")]
#[case::terenuri("terenuri")]
fn each_customer_is_found_only_by_its_own_key(#[case] name: &str) {
    let tree = sample(name);
    for customer in tree.customers() {
        let name = customer.id.rsplit('.').next().unwrap();
        let found = tree.customer_by_key(&format!("sample-key-{name}"));
        assert_eq!(found.unwrap().id, customer.id);
    }
    assert!(tree.customer_by_key("sample-key-").is_none());
    assert!(tree.customer_by_key("").is_none());
}
