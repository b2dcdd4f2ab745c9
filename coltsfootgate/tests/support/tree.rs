//! Settings trees for tests, stored at the stand-in platform in the format of the operator's tool.

use std::net::SocketAddr;

use coltsfootgate_config::{
    BranchDocument, HEAD_KEY, HeadObject, TreeParts, branch_key, content_digest, root_key,
};
use coltsfootgate_standins::control::blocking_call;

/// The bearer key of the only customer of [`sample_tree`].
pub const SAMPLE_KEY: &str = "test-key";

/// A tree with one model pool, one plain service and one customer.
///
/// `extra` is appended to the text.
pub fn sample_tree(engines: &[SocketAddr], services: &[SocketAddr], extra: &str) -> String {
    let mut text = format!(
        r#"
[deployment]
name = "test"

[classes]
tier = 4
first_token = "940 ms"
between_tokens = "34 ms"
deadline = "20 s"
attempts = 3
retry_budget = 1.0

[classes.once]
match = {{ path = ["/orders/*"] }}
tier = 1
repeatable = false

[customers.club]
keys = ["{}"]

[pools.model]
model = "parts"
resumes = true
silence = "2 s"

[pools.orders]
service = "/orders/"
silence = "2 s"
"#,
        content_digest(SAMPLE_KEY.as_bytes()),
    );
    for (pool, addresses) in [("model", engines), ("orders", services)] {
        for (index, address) in addresses.iter().enumerate() {
            text += &format!(
                "[pools.{pool}.endpoints.e{index}]\naddress = \"{address}\"\nzone = \"a\"\n\
                 slots = 4\nslots_max = 8\n",
            );
        }
    }
    text + extra
}

/// Stores a tree under the given version.
pub fn put_tree(platform: SocketAddr, version: u64, text: &str) {
    let document = BranchDocument::parse("test", text).expect("the test's tree is valid");
    let parts = TreeParts::split(&document).expect("the test's tree can be split");
    for part in parts.iter() {
        put_value(platform, &branch_key(&part.digest), part.text.as_bytes(), 0);
    }
    let root = parts.root();
    put_value(platform, &root_key(&root.digest()), &root.to_bytes(), 0);
    let head = HeadObject {
        version,
        root: root.digest(),
        nonce: format!("test-{version}").into(),
        author: None,
        note: None,
        written_at: None,
    };
    put_value(platform, HEAD_KEY, &head.to_bytes(), stored_revision(platform, HEAD_KEY));
}

/// Stores a value if the key has the given revision.
fn put_value(platform: SocketAddr, key: &str, value: &[u8], revision: u64) {
    let path = format!("/kv/{key}?revision={revision}");
    let answer = blocking_call(platform, "PUT", &path, value).expect("the platform answers");
    // Keys of branches are content digests, so a branch of an earlier version has the same value.
    assert!(matches!(answer.status, 200 | 409), "PUT {key}: {}", answer.status);
}

/// The revision of a stored value, or 0 if there is none.
fn stored_revision(platform: SocketAddr, key: &str) -> u64 {
    let path = format!("/kv/{key}");
    let answer = blocking_call(platform, "GET", &path, b"").expect("the platform answers");
    answer
        .head
        .lines()
        .filter_map(|line| {
            line.to_ascii_lowercase().strip_prefix("x-revision:")?.trim().parse().ok()
        })
        .next()
        .unwrap_or(0)
}
